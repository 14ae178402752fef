use std::time::Duration;

use tokio::sync::mpsc;

/// What has come for the one task that owns a scheduler, gathered in turns.
///
/// Answers before asks: they end what is held, and there are no more of them than were asked for.
pub struct EventQueue<N> {
    answers: mpsc::Receiver<N>,
    asks: mpsc::Receiver<N>,
    notes: Vec<N>,
    asked: Vec<N>,
    most: usize,
}

impl<N> EventQueue<N> {
    /// Up to `most` asks are taken in a turn, before time is looked at again, and all answers that there are: as many as
    /// their channel holds.
    pub fn new(answers: mpsc::Receiver<N>, asks: mpsc::Receiver<N>, most: usize) -> EventQueue<N> {
        EventQueue { answers, asks, notes: Vec::with_capacity(most), asked: Vec::with_capacity(most), most }
    }

    /// Waits until something has come or the time is up, and hands over what there is, answers first. Asks are taken in
    /// each turn: answers that never end, as from a worker that floods, hold back no client's word and no stop. What was
    /// sent as an answer before an ask is handed over before it.
    pub async fn next_batch(&mut self, at_most: Duration) -> impl Iterator<Item = N> + '_ {
        tokio::select! {
            biased;
            _ = self.answers.recv_many(&mut self.notes, self.most) => {}
            _ = self.asks.recv_many(&mut self.asked, self.most) => {}
            () = tokio::time::sleep(at_most) => {}
        }
        while self.asked.len() < self.most {
            let Ok(ask) = self.asks.try_recv() else { break };
            self.asked.push(ask);
        }
        // Counted after the asks were taken, so that all that went ahead of them is there.
        for _ in 0..self.answers.len() {
            let Ok(answer) = self.answers.try_recv() else { break };
            self.notes.push(answer);
        }
        self.notes.drain(..).chain(self.asked.drain(..))
    }
}
