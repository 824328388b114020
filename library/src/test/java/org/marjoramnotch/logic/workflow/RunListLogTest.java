package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.RejectionReason;
import org.marjoramnotch.model.order.RunEndReport;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;

/** What the log tells of a worker's lists, so that a second run of a task can be traced. */
class RunListLogTest extends WorkerSessionTestCase {
    private static final RunId FIRST = new RunId(TASK, 1);
    private static final RunId SECOND = new RunId(TASK, 2);

    private RunPlacement placement(RunId run) {
        return new RunPlacement(run, worker.incarnation(), "");
    }

    private ListRuns nextList(long now) {
        session.tick(now, output);
        return calls.stream()
                .filter(ListRuns.class::isInstance)
                .map(ListRuns.class::cast)
                .reduce((earlier, later) -> later)
                .orElseThrow();
    }

    private void list(
            long now,
            ListRuns list,
            long sentAt,
            List<RunStatus> running,
            List<RunEndReport> ended) {
        session.onOutcome(
                now,
                list,
                sentAt,
                new CallOutcome.Listed(list.id(), now, OptionalLong.of(1), running, ended),
                output);
        calls.clear();
    }

    private WorkerCall sendStart(long now) {
        calls.clear();
        session.start(now, placement(FIRST), Optional.empty(), output);
        return calls.remove(0);
    }

    private static RunEndReport done(long number, RunId run) {
        return new RunEndReport(number, new RunEnd(run, RunOutcome.DONE, ""));
    }

    /** Ends the first run of the task as not started, and starts the second one. */
    private void startSecondRun() {
        startWorkflow(placement(FIRST));
        ledger.apply(
                new EndRuns(
                        worker.incarnation(),
                        List.of(new RunEnd(FIRST, RunOutcome.NOT_STARTED, ""))));
        ledger.apply(new StartRuns(List.of(placement(SECOND))));
    }

    @Test
    void raiseWithoutCountedEndsNamesWhatItSkips() {
        startSecondRun();
        ListRuns list = nextList(0);
        list(10, list, 0, List.of(new RunStatus(SECOND, "", 1, -1)), List.of(done(7, FIRST)));

        assertThat(DecisionFields.only(decisionLog, "ends_acknowledged"))
                .containsEntry("worker", "w-1")
                .containsEntry("up_to", "7")
                .containsEntry("list", String.valueOf(list.id()))
                .containsEntry("counted", "0")
                .containsEntry("uncounted", "1")
                .containsEntry("ends", FIRST + "#7:DONE:LATER_RUN")
                .containsEntry("token", "1")
                .containsKeys("term", "index");
    }

    @Test
    void raiseAfterCommitNamesWhatItSkips() {
        startSecondRun();
        list(10, nextList(0), 0, List.of(), List.of(done(7, FIRST), done(8, SECOND)));
        assertThat(DecisionFields.of(decisionLog, "ends_acknowledged")).isEmpty();
        session.onEndsApplied(20, (EndRuns) proposals.get(0), output);

        assertThat(DecisionFields.only(decisionLog, "ends_acknowledged"))
                .containsEntry("up_to", "8")
                .containsEntry("counted", "1")
                .containsEntry("ends", FIRST + "#7:DONE:LATER_RUN");
    }

    @Test
    void raiseByCountedEndsAloneIsNotLogged() {
        startWorkflow(placement(FIRST));
        list(10, nextList(0), 0, List.of(), List.of(done(7, FIRST)));
        session.onEndsApplied(20, (EndRuns) proposals.get(0), output);

        assertThat(decisionLog).isEmpty();
    }

    @Test
    void raiseOverManyEndsNamesTheFirst() {
        List<RunEndReport> ended =
                LongStream.rangeClosed(1, 300)
                        .mapToObj(number -> done(number, new RunId(TASK, number)))
                        .toList();
        list(10, nextList(0), 0, List.of(), ended);

        Map<String, String> line = DecisionFields.only(decisionLog, "ends_acknowledged");
        assertThat(line).containsEntry("up_to", "300").containsEntry("uncounted", "300");
        assertThat(line.get("ends").split(",")).hasSize(40);
    }

    @Test
    void absentRunIsLoggedWithTheOrderOfListAndAnswer() {
        list(10, nextList(0), 0, List.of(), List.of());
        startWorkflow(placement(FIRST));
        WorkerCall start = sendStart(20);
        session.onOutcome(
                35, start, 20, new CallOutcome.Accepted(start.id(), OptionalLong.of(30)), output);
        ListRuns list = nextList(40);
        list(60, list, 40, List.of(), List.of());

        assertThat(DecisionFields.only(decisionLog, "run_not_started"))
                .containsEntry("run", FIRST.toString())
                .containsEntry("worker", "w-1")
                .containsEntry("reason", "NOT_IN_LIST")
                .containsEntry("call", String.valueOf(list.id()))
                .containsEntry("start_call", String.valueOf(start.id()))
                .containsEntry("start_sent_ms", "40")
                .containsEntry("answered_after_call", String.valueOf(start.id()))
                .containsEntry("unanswered", "false")
                .containsEntry("stop", "false")
                .containsEntry("token", "1");
    }

    @Test
    void absentRunOfAnEarlierLeaderHasNoOrder() {
        startWorkflow(placement(FIRST));
        list(10, nextList(0), 0, List.of(), List.of());

        assertThat(DecisionFields.only(decisionLog, "run_not_started"))
                .containsEntry("start_call", "none")
                .containsEntry("start_sent_ms", "none")
                .containsEntry("answered_after_call", "none");
    }

    @Test
    void refusedRunIsLoggedWithTheCall() {
        list(10, nextList(0), 0, List.of(), List.of());
        startWorkflow(placement(FIRST));
        WorkerCall start = sendStart(20);
        session.onOutcome(
                35,
                start,
                20,
                new CallOutcome.Rejected(
                        start.id(), OptionalLong.of(30), RejectionReason.NO_TICKET),
                output);

        assertThat(DecisionFields.only(decisionLog, "run_not_started"))
                .containsEntry("run", FIRST.toString())
                .containsEntry("reason", "REFUSAL")
                .containsEntry("call", String.valueOf(start.id()))
                .containsEntry("start_sent_ms", "15");
        assertThat(DecisionFields.only(decisionLog, "order_rejected"))
                .containsEntry("call_id", String.valueOf(start.id()))
                .containsEntry("token", "1");
    }

    @Test
    void unknownRunIsLoggedOnceWithWhatTheLedgerHas() {
        startSecondRun();
        List<RunStatus> running =
                List.of(new RunStatus(FIRST, "", 1, -1), new RunStatus(SECOND, "", 1, -1));
        ListRuns list = nextList(0);
        list(10, list, 0, running, List.of());
        list(30, nextList(20), 20, running, List.of());

        assertThat(DecisionFields.only(decisionLog, "unknown_run"))
                .containsEntry("run", FIRST.toString())
                .containsEntry("worker", "w-1")
                .containsEntry("reason", "LATER_RUN")
                .containsEntry("list", String.valueOf(list.id()))
                .containsEntry("token", "1");
    }

    @Test
    void leaseThatIsOverIsLoggedWithItsReadingAndGrant() {
        startWorkflow(placement(FIRST));
        list(10, nextList(0), 0, List.of(new RunStatus(FIRST, "", 1, -1)), List.of());
        for (long now = 20; now < LEASE_OVER; now += 50) {
            session.tick(now, output);
            for (WorkerCall call : List.copyOf(calls)) {
                session.onOutcome(now, call, now, new CallOutcome.Unanswered(call.id()), output);
            }
            calls.clear();
        }

        assertThat(DecisionFields.only(decisionLog, "worker_lease_over"))
                .containsEntry("worker", "w-1")
                .containsEntry("runs", "1")
                .containsEntry("source", "LEASE_OVER")
                .containsEntry("clock", "10")
                .containsEntry("granted_until", "5260")
                .containsKeys("reading_ms", "own_grant_ms")
                .containsEntry("token", "1");
    }

    @Test
    void leaseWithoutReadingIsLoggedAsThatOfAnEarlierLeader() {
        startWorkflow(placement(FIRST));
        session.onOutcome(
                20, calls.get(0), 0, new CallOutcome.Unanswered(calls.get(0).id()), output);
        session.tick(LEASE_OVER, output);

        assertThat(DecisionFields.only(decisionLog, "worker_lease_over"))
                .containsEntry("clock", "none")
                .containsEntry("reading_ms", String.valueOf(LEASE_OVER))
                .containsEntry("granted_until", "none")
                .containsEntry("own_grant_ms", "none");
    }
}
