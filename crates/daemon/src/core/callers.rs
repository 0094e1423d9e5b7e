//! Requests of callers, and the router's actions.

use {
    super::{
        Core,
        core::CallerRow,
        proposals::{Heeded, Origin, Proposal, heed},
    },
    crate::callers::CallerReply,
    crate::telemetry::Labels,
    coord::{
        claims::ClaimRequest,
        control::EndpointReport,
        ids::{EndpointName, RequestId},
        router::{Action, ClaimParams, Finish, Submission},
        tables::{Command, Endpoint, EndpointState},
        time::{Millis, Time},
        wire::Announcement,
    },
    tokio::sync::mpsc::UnboundedSender,
};

/// Claims and settlements are tried as long as the process lives: one that was
/// given up would leave its key running. What a process leaves is found by the
/// leader.
const ENDLESS: Time = Time(u64::MAX);
/// How long an announcement is tried; the endpoint repeats it.
const ANNOUNCE_BOUND: Millis = Millis(3000);

impl Core {
    pub(super) fn submit(
        &mut self,
        now: Time,
        ask: Submission,
        reply: UnboundedSender<CallerReply>,
    ) {
        let row = CallerRow {
            reply,
            route: ask.route.clone(),
            team: ask.team.clone(),
            class: ask.class,
            since: now,
        };
        self.callers.insert(ask.id, row);
        self.router.submit(now, ask);
    }

    pub(super) fn flush_router(&mut self, now: Time) {
        for action in self.router.take_actions() {
            match action {
                Action::Claim { request, params } => self.claim(now, request, params),
                Action::Settle { key, fence, settlement } => {
                    let command = Command::Settle { key, fence, settlement };
                    self.propose(now, Proposal::new(Origin::Settlement, command, ENDLESS));
                }
                Action::Send(send) => self.endpoints.send(send),
                Action::Cancel { ident, addr } => self.endpoints.cancel(ident, addr),
                Action::Piece { request, number, data } => {
                    if let Some(row) = self.callers.get(&request) {
                        let _ = row.reply.send(CallerReply::Piece { number, data });
                    }
                }
                Action::Finish { request, finish } => self.finish(now, request, finish),
            }
        }
    }

    /// Takes in an endpoint's announcement: news go into the agreed tables,
    /// the rest goes to the leader with the next renewal.
    pub(super) fn on_announcement(&mut self, now: Time, it: Announcement, heeded: Heeded) {
        let endpoint = it.endpoint;
        let report = EndpointReport {
            endpoint: endpoint.name.clone(),
            generation: endpoint.generation,
            load: it.load,
        };
        let known = self.holder.tables().endpoints.get(&endpoint.name);
        let news = known.is_none_or(|old| endpoint.supersedes(old));
        self.renewals.add_report(report);
        if !self.holder.has_lease(now) {
            heed(heeded, false);
        } else if news {
            self.agree_on(now, endpoint, heeded);
        } else {
            heed(heeded, true);
        }
    }

    /// Takes in that an endpoint leaves for good. Its row stays, so that a late
    /// announcement of the same start doesn't bring it back.
    pub(super) fn on_farewell(&mut self, now: Time, name: &EndpointName, heeded: Heeded) {
        let row = self.holder.tables().endpoints.get(name);
        match row.filter(|it| it.state != EndpointState::Leaving) {
            _ if !self.holder.has_lease(now) => heed(heeded, false),
            Some(it) => {
                let leaving = Endpoint { state: EndpointState::Leaving, ..it.clone() };
                self.agree_on(now, leaving, heeded);
            }
            None => heed(heeded, true),
        }
    }

    fn agree_on(&mut self, now: Time, endpoint: Endpoint, heeded: Heeded) {
        log::info!(
            endpoint:% = endpoint.name, generation:% = endpoint.generation,
            state:? = endpoint.state, addr:% = endpoint.addr;
            "[endpoints] An endpoint has news."
        );
        let origin = Origin::Announcement(heeded);
        self.propose(now, Proposal::new(origin, Command::Endpoint(endpoint), now + ANNOUNCE_BOUND));
    }

    fn claim(&mut self, now: Time, request: RequestId, params: ClaimParams) {
        let key = params.key;
        let claim = ClaimRequest {
            key,
            digest: params.digest,
            route: params.route,
            team: params.team,
            request,
            owner: self.identity.node,
            incarnation: self.identity.incarnation,
            at: self.wall(),
        };
        let origin = Origin::Claim { request, key };
        self.propose(now, Proposal::new(origin, Command::Claim(claim), ENDLESS));
    }

    fn finish(&mut self, now: Time, request: RequestId, finish: Box<Finish>) {
        let Some(row) = self.callers.shift_remove(&request) else {
            return;
        };
        let labels = Labels { route: &row.route, team: &row.team, class: row.class };
        self.meters.finished(&labels, now.since(row.since), &finish);
        if let Err(it) = &finish.result {
            log::debug!("[router] Request {request} failed: {} ({}).", it.detail, it.outcome);
        }
        let _ = row.reply.send(CallerReply::Finish(finish));
    }
}
