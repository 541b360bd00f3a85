//! What was sent, answered and run, for `record.txt`.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What minions saw of a subtask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    Started,
    /// A run has ended without being done.
    Ended,
    Done,
    /// An end `done` is taken note of: `ack_cursor` has reached it.
    Noted,
}

#[derive(Clone)]
pub struct Record {
    began: Instant,
    /// Lines with this text are left out.
    omitted: Option<&'static str>,
    file: Arc<Mutex<BufWriter<File>>>,
    events: Arc<Mutex<Vec<(String, Event)>>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        let file = Arc::new(Mutex::new(BufWriter::new(file)));
        Self {
            began: Instant::now(),
            omitted: None,
            file,
            events: Arc::default(),
        }
    }

    /// Leaves out lines with a text, of which there are too many.
    pub fn without(&self, text: &'static str) -> Self {
        Self {
            omitted: Some(text),
            ..self.clone()
        }
    }

    pub fn line(&self, line: impl AsRef<str>) {
        if self
            .omitted
            .is_some_and(|text| line.as_ref().contains(text))
        {
            return;
        }
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {}", line.as_ref());
        let _ = file.flush();
    }

    pub fn event(&self, task: &str, event: Event) {
        self.events.lock().unwrap().push((task.to_owned(), event));
    }

    pub fn starts(&self, task: &str) -> usize {
        let events = self.events.lock().unwrap();
        events
            .iter()
            .filter(|event| event.0 == task && event.1 == Event::Started)
            .count()
    }

    /// Returns the subtasks that were run twice: two runs at the same time, or a start after an end
    /// `done` that is taken note of, then or later.
    pub fn run_twice(&self) -> Vec<String> {
        let events = self.events.lock().unwrap();
        let mut tasks: Vec<&String> = events.iter().map(|(task, _)| task).collect();
        tasks.sort();
        tasks.dedup();
        let is_run_twice = |task: &&String| {
            let of_task = || {
                events
                    .iter()
                    .filter(|(of, _)| of == *task)
                    .map(|(_, event)| *event)
            };
            let (mut running, mut is_done, mut is_twice) = (0, false, false);
            let is_noted = of_task().any(|event| event == Event::Noted);
            for event in of_task() {
                match event {
                    Event::Started => {
                        running += 1;
                        is_twice |= running > 1 || (is_done && is_noted);
                    }
                    Event::Ended => running -= 1,
                    Event::Done => {
                        running -= 1;
                        is_done = true;
                    }
                    Event::Noted => {}
                }
            }
            is_twice
        };
        tasks.into_iter().filter(is_run_twice).cloned().collect()
    }
}
