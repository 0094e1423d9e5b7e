//! Requests of callers, announcements of endpoints, and the router's actions.

use {
    super::{
        Core,
        core::CallerRow,
        proposals::{CommitNotice, Origin, Proposal, notify},
    },
    crate::callers::CallerReply,
    crate::telemetry::RequestLabels,
    coord::{
        claims::ClaimRequest,
        control::{Departure, DeregistrationStep, EndpointReport},
        ids::RequestId,
        router::{Action, ClaimParams, Finish, Submission},
        tables::{Command, Endpoint},
        time::{Millis, Time},
        wire::Announcement,
    },
    tokio::sync::mpsc::UnboundedSender,
};

/// Claims and settlements are retried until the process ends, since giving one up
/// would leave its key in the running state. The leader finds the claims of a
/// process that has ended.
const NO_DEADLINE: Time = Time(u64::MAX);
/// How long the proposal for an announcement is retried. The endpoint repeats its
/// announcements.
const ANNOUNCE_TIMEOUT: Millis = Millis(3000);

impl Core {
    /// Passes a caller's request to the router.
    pub(super) fn submit(
        &mut self,
        now: Time,
        submission: Submission,
        reply: UnboundedSender<CallerReply>,
    ) {
        let row = CallerRow {
            reply,
            route: submission.route.clone(),
            team: submission.team.clone(),
            class: submission.class,
            since: now,
        };
        self.callers.insert(submission.id, row);
        self.router.submit(now, submission);
    }

    /// Carries out the actions that the router has queued.
    pub(super) fn flush_router(&mut self, now: Time) {
        for action in self.router.take_actions() {
            match action {
                Action::Claim { request, params } => self.claim(now, request, params),
                Action::Settle { key, fence, settlement } => {
                    let command = Command::Settle { key, fence, settlement };
                    self.propose(now, Proposal::new(Origin::Settlement, command, NO_DEADLINE));
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

    /// Handles an endpoint's announcement. A change of the endpoint's row is
    /// proposed; the load goes to the leader with the next renewal.
    pub(super) fn on_announcement(&mut self, now: Time, it: Announcement, committed: CommitNotice) {
        let endpoint = it.endpoint;
        let report = EndpointReport {
            endpoint: endpoint.name.clone(),
            generation: endpoint.generation,
            load: it.load,
        };
        let known = self.holder.tables().endpoints.get(&endpoint.name);
        let changed = known.is_none_or(|old| endpoint.supersedes(old));
        self.renewals.add_report(report);
        if !self.holder.has_lease(now) {
            notify(committed, false);
        } else if changed {
            self.propose_endpoint(now, endpoint, Origin::Announcement(committed));
        } else {
            notify(committed, true);
        }
    }

    /// Handles an endpoint's deregistration. Its row stays in the tables, marked as
    /// leaving, so that a late announcement of the same generation doesn't register
    /// the endpoint again.
    pub(super) fn on_deregister(
        &mut self,
        now: Time,
        departure: Departure,
        committed: CommitNotice,
    ) {
        if !self.holder.has_lease(now) {
            notify(committed, false);
            return;
        }
        let tables = self.holder.tables();
        match self.deregistrations.begin(now, &departure, tables, committed) {
            Some((row, committed)) => self.propose_leaving(now, departure, row, committed),
            None => log::info!(
                endpoint:% = departure.name, index:% = self.holder.index();
                "[endpoints] deregistration waits for more recent tables"
            ),
        }
    }

    /// Goes on with deregistrations after a reply to a renewal that was sent at `asked`.
    pub(super) fn refresh_deregistrations(&mut self, now: Time, asked: Time) {
        let tables = self.holder.tables().clone();
        for step in self.deregistrations.refresh(asked, &tables) {
            match step {
                DeregistrationStep::Propose(departure, row, committed) => {
                    self.propose_leaving(now, departure, row, committed);
                }
                DeregistrationStep::Done(committed) => notify(committed, true),
            }
        }
    }

    fn propose_leaving(
        &mut self,
        now: Time,
        departure: Departure,
        row: Endpoint,
        committed: CommitNotice,
    ) {
        let origin = Origin::Deregistration { departure, committed };
        self.propose_endpoint(now, row, origin);
    }

    fn propose_endpoint(&mut self, now: Time, endpoint: Endpoint, origin: Origin) {
        log::info!(
            endpoint:% = endpoint.name, generation:% = endpoint.generation,
            state:? = endpoint.state, addr:% = endpoint.addr, pool:% = endpoint.pool,
            version = endpoint.version.as_ref().map_or("none", |it| it.as_str());
            "[endpoints] An endpoint has news."
        );
        self.propose(
            now,
            Proposal::new(origin, Command::Endpoint(endpoint), now + ANNOUNCE_TIMEOUT),
        );
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
            at: self.wall_time(),
        };
        let origin = Origin::Claim { request, key };
        self.propose(now, Proposal::new(origin, Command::Claim(claim), NO_DEADLINE));
    }

    fn finish(&mut self, now: Time, request: RequestId, finish: Box<Finish>) {
        let Some(row) = self.callers.shift_remove(&request) else {
            return;
        };
        let labels = RequestLabels { route: &row.route, team: &row.team, class: row.class };
        self.meters.record_finished(&labels, now.since(row.since), &finish);
        if let Err(it) = &finish.result {
            log::debug!("[router] Request {request} failed: {} ({}).", it.detail, it.outcome);
        }
        let _ = row.reply.send(CallerReply::Finish(finish));
    }
}
