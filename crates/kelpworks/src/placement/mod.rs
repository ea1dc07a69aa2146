//! Which upstream holds which layers of which model.
