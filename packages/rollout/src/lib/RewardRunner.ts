/**
 * Sends the reward calls of completed texts while this host conducts, and passes each score on as part of its task's
 * result. A call is sent only once the last event of its text has been received. While the scoring service is slow or
 * away, texts wait here and engines go on with other tasks.
 */

import {
    after,
    type CallTargets,
    type Clock,
    drawService,
    type ForwardOutcome,
    type Instant,
    type JobScheduler,
    type RewardAttempt,
    type RewardAttemptEnd,
    type RewardCall,
    RewardQueue,
    type RewardRoute,
    type TargetEntryView,
    type TaskRun,
    type ZoneId,
} from "@tamarackpath/core";
import { type HostView } from "./HostView.js";
import { type JobRegistry } from "./JobRegistry.js";
import { type Journal } from "./Journal.js";
import { type RequestPermits } from "./RequestPermits.js";

/** Upper limit in bytes of a scoring service's answer, of which only the head is used. */
const maxAnswerBytes = 1_048_576;

/** Name of reward calls among the requests to targets with a rate limit. */
const rewardsFlow = "rewards";

/** Sends reward calls. */
export class RewardRunner {
    private readonly queue: RewardQueue;
    private readonly stops = new Map<TaskRun, Set<AbortController>>();
    private cancelDispatch: (() => void) | undefined;
    private isActive = false;

    constructor(
        zone: ZoneId,
        private readonly scheduler: JobScheduler,
        private readonly registry: JobRegistry,
        private readonly view: HostView,
        private readonly targets: CallTargets,
        private readonly permits: RequestPermits,
        private readonly random: () => number,
        private readonly clock: Clock,
        private readonly journal: Journal,
    ) {
        this.queue = new RewardQueue(zone);
        registry.events.on("opened", () => this.dispatch());
        registry.events.on("stopped", runs => runs.forEach(run => this.stop(run)));
        view.events.on("changed", () => {
            this.queue.removeUnlisted(view.directory.targets);
            this.dispatch();
        });
    }

    activate(): void {
        this.isActive = true;
        this.dispatch();
    }

    deactivate(): void {
        this.isActive = false;
        this.cancelDispatch?.();
        [...this.stops.keys()].forEach(run => this.stop(run));
    }

    /** Sends every reward call that may be sent at this time. */
    dispatch(): void {
        if (!this.isActive) {
            return;
        }
        const now = this.clock.now();
        const { open } = this.scheduler;
        this.queue.removeEnded(open);
        if (open.some(({ scoring }) => scoring.size > 0)) {
            const available = (target: TargetEntryView): number => this.permits.available(target, rewardsFlow, now);
            const routes = new Map<string, RewardRoute>();
            this.queue.start(open, call => this.routeOf(call, routes), now, available)
                .forEach(attempt => void this.send(attempt));
        }
        this.scheduleDispatch(now);
    }

    private async send(attempt: RewardAttempt): Promise<void> {
        const { run, call, target, startedAt, deadline, isRepeatAtTarget } = attempt;
        const stop = new AbortController();
        const stops = this.stops.get(run) ?? new Set();
        this.stops.set(run, stops.add(stop));
        const limitAtStart = this.permits.describe(target);
        let isOverdue = false;
        const cancelTimeout = this.clock.callAt(deadline, () => {
            isOverdue = true;
            stop.abort();
        });
        const outcome = await this.targets.send(
            target,
            { id: call.id, caller: "", method: "POST", path: call.path, host: call.host, headers: [], body: call.body },
            {
                deadline,
                permit: this.permits.take(target, rewardsFlow),
                maxConnections: this.view.routes?.service(target.service)?.maxConnections ?? 1,
                shouldUseNewConnection: isRepeatAtTarget,
                streamHandler: undefined,
                maxBodyBytes: maxAnswerBytes,
            },
            stop.signal,
        );
        cancelTimeout();
        stops.delete(stop);
        const now = this.clock.now();
        const { end, score, detail } = read(outcome, isOverdue);
        const step = this.queue.end(attempt, end, now);
        this.journal.log("reward-attempt", {
            job: run.job.job.id,
            task: run.task.id,
            call: call.id,
            target: target.target,
            end,
            detail,
            failures: this.queue.failuresOf(run),
            step,
            viewAgeMs: this.view.ageMs,
            ...limitAtStart,
            ms: now - startedAt,
        });
        if (step === "list" || step === "give-up") {
            this.finish(run, score);
        }
        this.dispatch();
    }

    private finish(run: TaskRun, score: string | undefined): void {
        this.stop(run);
        const result = this.scheduler.endScoring(run, score);
        if (result !== undefined) {
            this.registry.addResult(run.job, result);
        }
    }

    private stop(run: TaskRun): void {
        const stops = this.stops.get(run);
        this.stops.delete(run);
        stops?.forEach(stop => stop.abort());
    }

    /** The route of a call; `known` keeps those of one dispatch, since all calls of a step have the same one. */
    private routeOf({ host, path }: RewardCall, known: Map<string, RewardRoute>): RewardRoute | undefined {
        const route = this.view.routes?.find(host, path);
        const service = route === undefined ? undefined : drawService(route, this.random());
        if (route === undefined || service === undefined) {
            return undefined;
        }
        const key = `${route.id} ${service}`;
        const found = known.get(key) ?? {
            targets: this.view.directory.targets.filter(entry => entry.service === service),
            maxAttempts: route.maxAttempts,
            hedgeAfterMs: route.targetLatencyMs,
            timeoutMs: route.timeoutMs,
        };
        known.set(key, found);
        return found;
    }

    /** Schedules the next dispatch after the one at `now`; a later time would miss a delay that has ended since. */
    private scheduleDispatch(now: Instant): void {
        this.cancelDispatch?.();
        const isWaiting = this.scheduler.open.some(({ scoring }) => scoring.size > 0);
        const times = [
            this.queue.nextStartAt(now),
            ...isWaiting ? this.permits.nextTimes(this.view.directory.targets, rewardsFlow, now) : [],
        ].filter(at => at !== undefined);
        this.cancelDispatch = times.length === 0
            ? undefined
            : this.clock.callAt(after(Math.min(...times) as Instant, 1), () => this.dispatch());
    }
}

/** Reads the score from an attempt's outcome; a successful answer without a signature is not a score. */
function read(
    outcome: ForwardOutcome,
    isOverdue: boolean,
): { readonly end: RewardAttemptEnd; readonly score?: string; readonly detail?: string; } {
    switch (outcome.kind) {
        case "answered": {
            const { status, signature } = outcome.head;
            if (status >= 200 && status < 300 && signature !== undefined) {
                return { end: "scored", score: signature };
            }
            return { end: status === 500 ? "failed" : "unknown", detail: `The target answered with status ${status}.` };
        }
        case "streamed":
            return { end: "unknown", detail: "The answer was a stream." };
        case "cancelled":
            return isOverdue ? { end: "unknown", detail: "No answer came in time." } : { end: "cancelled" };
        case "not-run":
            return { end: outcome.reached ? "not-run" : "unknown", detail: outcome.detail };
        case "unknown":
            return { end: "unknown", detail: outcome.detail };
    }
}
