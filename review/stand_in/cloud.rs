//! The service that lists, moves and maintains machines. Each machine has a minion, which ends when
//! the upkeep of its machine begins; a new one joins after `upkeep_s`.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{Json, quote};
use crate::minion::Minion;
use crate::store::Store;

/// `upkeep_s` of the settings.
pub const UPKEEP: Duration = Duration::from_secs(2);

/// A call for an upkeep, with times in milliseconds since the start of the script.
#[derive(Debug, Clone)]
pub struct UpkeepCall {
    pub at_ms: u64,
    pub machine: String,
    /// What was answered, or that no answer was sent.
    pub answer: &'static str,
    /// Whether the call began the machine's upkeep.
    pub has_begun: bool,
    /// The machines that were down for their upkeep when the call came.
    pub down: Vec<String>,
}

struct Machine {
    name: String,
    minion: Arc<Minion>,
    upkeep_until: Option<Instant>,
    is_maintained: bool,
}

struct State {
    machines: Vec<Machine>,
    calls: Vec<UpkeepCall>,
    fence: u64,
    /// How long the service is unavailable after it has carried out an upkeep, and how often.
    outage: Duration,
    outages_left: usize,
    unavailable_until: Option<Instant>,
}

pub struct Cloud {
    began_at: Instant,
    store: Arc<Store>,
    service: &'static str,
    zones: [&'static str; 3],
    state: Mutex<State>,
}

impl Cloud {
    /// Starts the service for the machines of these minions and returns it with its address.
    pub fn start(
        began_at: Instant,
        store: Arc<Store>,
        service: &'static str,
        zones: [&'static str; 3],
        minions: &[Arc<Minion>],
    ) -> (Arc<Cloud>, SocketAddr) {
        let machine = |(index, minion): (usize, &Arc<Minion>)| Machine {
            name: format!("m-{index}"),
            minion: Arc::clone(minion),
            upkeep_until: None,
            is_maintained: false,
        };
        let state = State {
            machines: minions.iter().enumerate().map(machine).collect(),
            calls: Vec::new(),
            fence: 0,
            outage: Duration::ZERO,
            outages_left: 0,
            unavailable_until: None,
        };
        let cloud = Arc::new(Cloud { began_at, store, service, zones, state: Mutex::new(state) });
        let served = Arc::clone(&cloud);
        let address = http::serve(move |request| served.answer(request));
        (cloud, address)
    }

    /// Makes the service unavailable for this time from each of the next upkeeps on, whose answers are
    /// lost.
    pub fn fail_at_upkeeps(&self, count: usize, outage: Duration) {
        let mut state = self.state.lock().unwrap();
        (state.outages_left, state.outage) = (count, outage);
    }

    pub fn upkeep_calls(&self) -> Vec<UpkeepCall> {
        self.state.lock().unwrap().calls.clone()
    }

    /// Returns the minions of the machines as they are now.
    pub fn minions(&self) -> Vec<Arc<Minion>> {
        let state = self.state.lock().unwrap();
        state.machines.iter().map(|machine| Arc::clone(&machine.minion)).collect()
    }

    /// Writes the entries of the minions that are up into the platform's store.
    pub fn register_all(&self, seq: u64) {
        let state = self.state.lock().unwrap();
        for (index, machine) in state.machines.iter().enumerate() {
            if machine.upkeep_until.is_none() {
                self.register(index, &machine.minion, seq);
            }
        }
    }

    fn register(&self, index: usize, minion: &Minion, seq: u64) {
        let entry = minion.entry(self.service, self.zones[index % 3], &format!("r{}", index / 4), seq);
        self.store.write("servers", &minion.id, &entry);
    }

    fn answer(self: &Arc<Self>, request: &Request) -> Answer {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let is_unavailable = state.unavailable_until.is_some_and(|until| now < until);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/machines") if is_unavailable => Some((503, "{}".into())),
            ("GET", "/-/machines") => Some((200, self.list(&state))),
            ("POST", "/-/machine-upkeep") => self.maintain(&mut state, request, is_unavailable),
            _ => Some((409, "{\"reason\":\"busy\"}".into())),
        }
    }

    fn list(&self, state: &State) -> String {
        let machines = state.machines.iter().enumerate().map(|(index, machine)| {
            let (status, id) = match machine.upkeep_until {
                Some(_) => ("upkeep", ""),
                None => ("up", machine.minion.id.as_str()),
            };
            format!(
                "{{\"machine\":{},\"pool\":{},\"state\":\"{status}\",\"zone\":\"{}\",\"labels\":[\"a\",\"r{}\"],\
                 \"capacity\":{{\"cpu\":64000,\"mem_mb\":131072,\"gpu\":0}},\"id\":{}}}",
                quote(&machine.name), quote(self.service), self.zones[index % 3], index / 4, quote(id)
            )
        });
        let machines: Vec<String> = machines.collect();
        format!("{{\"machines\":[{}],\"next_token\":\"\"}}", machines.join(","))
    }

    fn maintain(self: &Arc<Self>, state: &mut State, request: &Request, is_unavailable: bool) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let name = body.get("machine").text().to_owned();
        let down = state.machines.iter().filter(|machine| machine.upkeep_until.is_some());
        let down: Vec<String> = down.map(|machine| machine.name.clone()).collect();
        let at_ms = self.began_at.elapsed().as_millis() as u64;
        let mut call = UpkeepCall { at_ms, machine: name.clone(), answer: "200", has_begun: false, down };
        let fence: u64 = request.header("x-fencing-token").parse().unwrap_or(0);
        let index = state.machines.iter().position(|machine| machine.name == name);
        let answer = match index {
            _ if is_unavailable => Some((503, "{}".to_owned())),
            None => Some((400, "{}".to_owned())),
            Some(_) if fence < state.fence => Some((409, "{\"reason\":\"fence\"}".to_owned())),
            Some(index) => {
                state.fence = fence;
                let machine = &mut state.machines[index];
                // A repeated call succeeds, also while the upkeep goes on.
                if !machine.is_maintained {
                    machine.is_maintained = true;
                    machine.upkeep_until = Some(Instant::now() + UPKEEP);
                    call.has_begun = true;
                    self.begin_upkeep(index, Arc::clone(&machine.minion));
                }
                Some((200, "{}".to_owned()))
            }
        };
        let is_lost = call.has_begun && state.outages_left > 0;
        if is_lost {
            state.outages_left -= 1;
            state.unavailable_until = Some(Instant::now() + state.outage);
        }
        let answer = if is_lost { None } else { answer };
        call.answer = match &answer {
            None => "carried out, no answer",
            Some((200, _)) => "200",
            Some((503, _)) => "503",
            Some((409, _)) => "409 fence",
            Some(_) => "400",
        };
        state.calls.push(call);
        answer
    }

    /// Ends the machine's minion, and starts a new one after the upkeep.
    fn begin_upkeep(self: &Arc<Self>, index: usize, ended: Arc<Minion>) {
        ended.leave();
        self.store.remove("servers", &ended.id);
        let cloud = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(UPKEEP);
            let minion = ended.successor();
            let mut state = cloud.state.lock().unwrap();
            let machine = &mut state.machines[index];
            machine.minion = Arc::clone(&minion);
            machine.upkeep_until = None;
            cloud.register(index, &minion, 1);
        });
    }
}
