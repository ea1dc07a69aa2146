//! Mean of figures over all daemons, estimated by each daemon from exchanges with a few others.
//!
//! Daemons even out their balances in pairs. Two partners keep an account of what one has given to the other, and a
//! balance is the daemon's own figures less everything it has given. What one partner gives the other receives, so the
//! sum over all daemons stays that of their own figures, and each balance approaches the mean.
//!
//! An account is a state that both partners can compare, not a change that must arrive exactly once: a lost or one-sided
//! exchange is corrected by the next one, and with the account of a daemon that has ended, all it gave or received
//! disappears. An estimate without accounts, which moves towards what is heard and drifts back to the daemon's own
//! figures, can't do both: where one daemon has nearly all requests, its drift keeps its estimate and those near it far
//! above the mean.
//!
//! ```
//! use std::sync::Arc;
//!
//! use kelpworks_relay::contention::pooled::Pooled;
//! use tokio::time::Instant;
//!
//! let (a, b): (Arc<str>, Arc<str>) = (Arc::from("a"), Arc::from("b"));
//! let now = Instant::now();
//! let mut at_a: Pooled<1> = Pooled::new(now);
//! let mut at_b: Pooled<1> = Pooled::new(now);
//! at_a.set_local([7.0], now);
//!
//! // `a` calls `b`.
//! at_b.on_call(&a, &at_a.message(&b, now), now);
//! at_a.on_reply(&b, &at_b.message(&a, now), now);
//! assert_eq!(at_a.balance(now), [6.0]);
//! assert_eq!(at_b.balance(now), [1.0]);
//! ```
//!
//! Limits: a figure of which one daemon has nearly all reaches the others in as many rounds as it takes to hand it on
//! from partner to partner. A partner that reports false figures within the bounds shifts the mean for as long as it is
//! live.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

/// Fraction of the difference between two balances that one exchange moves.
///
/// A daemon starts six exchanges at once, all with the same balance, and answers about six others before these end.
/// A seventh each makes the six end at the mean of the daemon and its partners, and twelve turn a difference to -5/7 of
/// itself at worst, so that it dies out. With a half, six exchanges turn a difference to -2 times itself: the balances
/// oscillate ever more.
const WEIGHT: f64 = 1.0 / 7.0;
/// Maximum of a figure, per second, and of the absolute value of a balance. Larger ones are false.
pub const MAX_FIGURE: f64 = 1e5;
/// Rate, per second, below which a figure counts as zero.
const MIN_FIGURE: f64 = 1e-9;
/// Maximum number of exchanges of an account; more can't happen within years.
const MAX_VERSION: f64 = 1e12;
/// Time without any exchange after which a daemon counts as cut off and uses its own figures.
const ISOLATION_PERIOD: Duration = Duration::from_secs(3);
/// Time without an exchange after which an account ends although the partner is live. Partners of a large fleet are drawn
/// at random: a call every 2.5 s in the mean, so that a live partner is missed for this long once in some thousand times.
const ACCOUNT_TTL: Duration = Duration::from_secs(20);
/// Time for which the balance of a partner is used beside this daemon's: a little over the interval between exchanges of
/// a large fleet. With all partners of one interval, the estimate doesn't jump with each request of this daemon.
const BALANCE_TTL: Duration = Duration::from_millis(600);
/// Maximum number of accounts. A daemon draws its partners among 30 others, and about as many draw it.
const MAX_ACCOUNTS: usize = 256;
/// Significant digits of figures in messages, which are JSON: with all 17 they would be twice as long. With four digits,
/// an account of some hundreds could not take up the last tenth of a mean of 1.
const MESSAGE_DIGITS: i32 = 6;

/// Estimate of the mean of `N` figures over all daemons.
#[derive(Clone, Debug)]
pub struct Pooled<const N: usize> {
    /// Figures of this daemon; each passes [`is_figure`].
    local: [f64; N],
    /// By partner. Ordered, so that sums are the same in each run.
    accounts: BTreeMap<Arc<str>, Account<N>>,
    /// When a partner was last heard, or the start.
    last_heard: Instant,
}

/// What this daemon and a partner have given to each other.
#[derive(Clone, Copy, Debug)]
struct Account<const N: usize> {
    /// Number of exchanges that changed `given`; the later state is valid.
    version: f64,
    /// What this daemon has given; negative where it has received. The partner has the same with the opposite sign, but
    /// for an exchange that is under way or was one-sided.
    given: [f64; N],
    /// The partner's balance when it was last heard.
    balance: [f64; N],
    heard: Instant,
}

/// A valid message of a partner.
#[derive(Clone, Copy, Debug)]
struct Message<const N: usize> {
    version: f64,
    balance: [f64; N],
    given: [f64; N],
}

impl<const N: usize> Pooled<N> {
    /// Number of values in a message: the version of the account, the sender's balance, and what it has given.
    pub const MESSAGE_LEN: usize = 2 * N + 1;

    /// Creates the state of a daemon that has no figures yet and knows no partner.
    pub fn new(now: Instant) -> Pooled<N> {
        Pooled {
            local: [0.0; N],
            accounts: BTreeMap::new(),
            last_heard: now,
        }
    }

    /// Sets this daemon's own figures. Their change appears in its estimate at once. Figures that are not finite,
    /// negative or over [`MAX_FIGURE`] are ignored, with those beside them.
    pub fn set_local(&mut self, local: [f64; N], now: Instant) {
        self.end_silent_accounts(now);
        if local.iter().copied().all(is_figure) {
            self.local = local;
        }
    }

    /// Returns the message to a partner, for a call or for the reply to one.
    pub fn message(&self, partner: &str, now: Instant) -> Vec<f64> {
        let account = self.accounts.get(partner);
        let account = account.filter(|account| self.is_valid(account, now));
        let (version, given) = account.map_or((0.0, [0.0; N]), |a| (a.version, a.given));
        let balance = self.balance(now).map(rounded);
        let values = std::iter::once(version).chain(balance).chain(given);
        values.collect()
    }

    /// Applies the message of a partner that calls this daemon, before the reply is made.
    ///
    /// A message of another length, or with a value that is out of range, is ignored.
    pub fn on_call(&mut self, partner: &Arc<str>, message: &[f64], now: Instant) {
        let Some(theirs) = self.hear(partner, message, now) else {
            return;
        };
        let own = self.balance(now);
        let Some(account) = self.accounts.get_mut(partner) else {
            return;
        };
        // The caller has missed a reply, and learns it from the reply to this call.
        if theirs.version < account.version {
            return;
        }
        // The caller's state may be later than this daemon's, whose balance it then changes.
        let own: [f64; N] = std::array::from_fn(|k| own[k] + account.given[k] + theirs.given[k]);
        account.version = theirs.version + 1.0;
        account.given = std::array::from_fn(|k| {
            let received = WEIGHT * (theirs.balance[k] - own[k]);
            rounded(-theirs.given[k] - received).clamp(-MAX_FIGURE, MAX_FIGURE)
        });
    }

    /// Applies the reply of a partner that this daemon has called. What [`Pooled::on_call`] ignores is ignored here too.
    pub fn on_reply(&mut self, partner: &Arc<str>, message: &[f64], now: Instant) {
        let Some(theirs) = self.hear(partner, message, now) else {
            return;
        };
        let Some(account) = self.accounts.get_mut(partner) else {
            return;
        };
        if theirs.version > account.version {
            account.version = theirs.version;
            account.given = theirs.given.map(|given| -given);
        } else if theirs.version == account.version {
            // Two calls have crossed. Both partners changed the account, and both settle on the mean.
            let mean = |k: usize| (account.given[k] - theirs.given[k]) / 2.0;
            account.given = std::array::from_fn(mean);
        }
    }

    /// Ends the accounts of partners that are no longer live.
    pub fn retain(&mut self, mut is_live: impl FnMut(&str) -> bool) {
        self.accounts.retain(|partner, _| is_live(partner));
    }

    /// Returns the estimate of the mean: the median of this daemon's balance and of those that its partners have just
    /// reported. The median leaves out the few that an exchange under way has made far too high or low.
    pub fn estimate(&self, now: Instant) -> [f64; N] {
        let own = self.balance(now);
        let accounts = self.accounts.values();
        let recent = accounts.filter(|a| now.duration_since(a.heard) < BALANCE_TTL);
        let balances: Vec<&[f64; N]> = std::iter::once(&own)
            .chain(recent.map(|a| &a.balance))
            .collect();
        std::array::from_fn(|k| median(balances.iter().map(|b| b[k]).collect()).max(0.0))
    }

    /// Returns this daemon's own figures less what it has given. The sum of the balances of all daemons is that of their
    /// own figures. A balance is negative for a moment when the daemon's figures fall under what it has given. It is sent
    /// as it is: if it were sent as zero, others would hardly make up for it.
    pub fn balance(&self, now: Instant) -> [f64; N] {
        let accounts = self.accounts.values();
        let valid: Vec<&Account<N>> = accounts.filter(|a| self.is_valid(a, now)).collect();
        std::array::from_fn(|k| {
            let given: f64 = valid.iter().map(|a| a.given[k]).sum();
            (self.local[k] - given).clamp(-MAX_FIGURE, MAX_FIGURE)
        })
    }

    /// Notes a valid message of a partner, and opens an account for a new one.
    fn hear(&mut self, partner: &Arc<str>, message: &[f64], now: Instant) -> Option<Message<N>> {
        let theirs: Message<N> = Message::parse(message)?;
        self.end_silent_accounts(now);
        if !self.accounts.contains_key(partner) {
            if self.accounts.len() >= MAX_ACCOUNTS {
                return None;
            }
            let account = Account::new(now);
            self.accounts.insert(Arc::clone(partner), account);
        }
        let account = self.accounts.get_mut(partner)?;
        account.balance = theirs.balance;
        account.heard = now;
        self.last_heard = now;
        Some(theirs)
    }

    fn end_silent_accounts(&mut self, now: Instant) {
        let is_isolated = self.is_isolated(now);
        let is_valid = |a: &Account<N>| !is_isolated && now.duration_since(a.heard) < ACCOUNT_TTL;
        self.accounts.retain(|_, account| is_valid(account));
    }

    fn is_valid(&self, account: &Account<N>, now: Instant) -> bool {
        !self.is_isolated(now) && now.duration_since(account.heard) < ACCOUNT_TTL
    }

    fn is_isolated(&self, now: Instant) -> bool {
        now.duration_since(self.last_heard) >= ISOLATION_PERIOD
    }
}

impl<const N: usize> Account<N> {
    fn new(now: Instant) -> Account<N> {
        Account {
            version: 0.0,
            given: [0.0; N],
            balance: [0.0; N],
            heard: now,
        }
    }
}

impl<const N: usize> Message<N> {
    /// Returns `None` for a message of another length, or with a value that is out of range.
    fn parse(message: &[f64]) -> Option<Message<N>> {
        let (&version, figures) = message.split_first()?;
        let (balance, given) = figures.split_at_checked(N)?;
        let message = Message {
            version,
            balance: balance.try_into().ok()?,
            given: given.try_into().ok()?,
        };
        let is_version = (0.0..MAX_VERSION).contains(&version) && version.fract() == 0.0;
        let is_valid = figures.iter().all(|value| is_figure(value.abs()));
        (is_version && is_valid).then_some(message)
    }
}

/// Returns whether a value may be a figure. False for one that is not a number.
fn is_figure(value: f64) -> bool {
    (0.0..=MAX_FIGURE).contains(&value)
}

/// Rounds to [`MESSAGE_DIGITS`], and values under [`MIN_FIGURE`] to zero.
fn rounded(value: f64) -> f64 {
    if value.abs() < MIN_FIGURE {
        return 0.0;
    }
    let magnitude = value.abs().log10().floor() as i32;
    let scale = 10f64.powi(MESSAGE_DIGITS - 1 - magnitude);
    (value * scale).round() / scale
}

/// Returns the middle of the values, at least one, or the mean of the two in the middle.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let upper = values.len() / 2;
    let lower = (values.len() - 1) / 2;
    (values[lower] + values[upper]) / 2.0
}
