use super::*;
use crate::clients::{ClientSubmission, SubmissionMetadata};
use async_executor::LocalExecutor;
use mountshift_maintenance::MaintenanceState;
use std::rc::Rc;

fn tasks() -> RelayTasks {
    RelayTasks::new(Rc::new(LocalExecutor::new()), MaintenanceState::from_text(""))
}

/// Submits a message; returns the channel of its reply.
fn submit(tasks: &RelayTasks) -> Receiver<SubmissionReply> {
    let (reply_to, reply) = async_channel::bounded(1);
    let metadata_text = "c=any,d=8000,dest=7";
    let message = ClientSubmission {
        id: b"m1".to_vec(),
        key: 0,
        metadata_text: metadata_text.into(),
        metadata: SubmissionMetadata::parse(metadata_text).expect("metadata"),
        received_at: Instant::now(),
        body: Vec::new(),
    };
    tasks.events.0.try_send(Event::MessageReceived { message, reply_to }).expect("room");
    reply
}

#[test]
fn prepended_items_precede_queued_ones() {
    let channel = async_channel::unbounded();
    for item in [3, 4] {
        channel.0.try_send(item).expect("room");
    }
    prepend(&channel, vec![1, 2]);
    let items: Vec<u32> = std::iter::from_fn(|| channel.1.try_recv().ok()).collect();
    assert_eq!(items, [1, 2, 3, 4]);
}

#[test]
fn submission_is_kept_while_the_spool_opens() {
    let tasks = tasks();
    let reply = submit(&tasks);
    let mut deferred = DeferredEvents::default();
    let opening = async {
        while !tasks.events.1.is_empty() {
            futures_lite::future::yield_now().await;
        }
        Ok(7)
    };
    let opened = async_io::block_on(await_while_serving(&tasks, &mut deferred, opening));
    assert!(matches!(opened, Ok(Some(7))));
    assert!(reply.is_empty() && !reply.is_closed());
    deferred.requeue(&tasks.events);
    assert_eq!(tasks.events.1.len(), 1);
}

// While the state folder fails, clients must get rejections and the process must remain stoppable.
#[test]
fn submissions_are_rejected_while_the_spool_cannot_be_opened() {
    let tasks = tasks();
    let reply = submit(&tasks);
    let mut deferred = DeferredEvents::default();
    let opened = async_io::block_on(async {
        let opening = await_while_serving(&tasks, &mut deferred, std::future::pending::<Result<(), _>>());
        let client = async {
            assert_eq!(reply.recv().await, Ok(SubmissionReply::Rejected { retry_after_ms: 0 }));
            assert_eq!(submit(&tasks).recv().await, Ok(SubmissionReply::Rejected { retry_after_ms: 0 }));
            tasks.clients_stopping.0.close();
            std::future::pending().await
        };
        opening.or(client).await
    });
    assert!(matches!(opened, Ok(None)));
    assert!(tasks.clients_ending.0.is_closed());
}
