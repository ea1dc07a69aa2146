//! Contract of the engine border.

mod support;

use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::StandIns;
use kelpworks_fakes::tokens;
use kelpworks_wire::OutputForm;
use rstest::rstest;
use support::answer;
use support::model;

#[rstest]
#[case::inline(OutputForm::Inline, 64)]
#[case::inline_by_position(OutputForm::Inline, 1)]
#[case::handle(OutputForm::Handle, 64)]
#[case::handle_in_chunks(OutputForm::Handle, 5)]
#[tokio::test]
async fn a_pipeline_answers_as_the_model(#[case] output: OutputForm, #[case] chunk: usize) {
    let fleet = StandIns::spawn(FleetConfig::pipeline(&model(), 3, 1))
        .await
        .unwrap();
    let prompt = tokens(b"a red chair");
    let got = answer(&fleet, output, &prompt, chunk, 12).await;
    assert_eq!(got, model().answer(&prompt, 12));
    for engine in &fleet.engines {
        let ran: Vec<u32> = engine
            .ledger()
            .runs_of("s")
            .iter()
            .flat_map(|r| r.position..r.position + r.count)
            .collect();
        let all: Vec<u32> = (0..(prompt.len() + 12) as u32).collect();
        assert_eq!(ran, all);
    }
}
