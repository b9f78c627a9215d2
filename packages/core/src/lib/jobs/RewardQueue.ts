/**
 * Decides which reward call is sent next, to which target, and what follows when it ends. It is made for bursts: the
 * samples of a step are completed by the hundred within a second or two, the scoring service has few slots that it
 * shares with callers of its own, some targets are slow or refuse work, and some calls always fail. The calls that
 * complete a group which a trainer waits for go first. Each target gets a limited number of calls at a time, fewer after
 * each refusal, so that slots are left for other callers.
 */

import { TargetSelector } from "../calls/TargetSelector.js";
import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { after, type GroupId, type Instant, type TargetId, type ZoneId } from "../ids.js";
import { type RewardCall } from "./Job.js";
import { type OpenJob, type TaskRun } from "./JobScheduler.js";

/** Where reward calls of one route go, by the configuration in force. */
export interface RewardRoute {
    readonly targets: readonly TargetEntryView[];
    /** Number of answers with status 500 after which the task fails. */
    readonly maxAttempts: number;
    /** Milliseconds after which a call without an answer is sent to a second target. */
    readonly hedgeAfterMs: number;
    /** Milliseconds after which an attempt without an answer ends. */
    readonly timeoutMs: number;
}

/** A reward call to send. */
export interface RewardAttempt {
    readonly run: TaskRun;
    readonly call: RewardCall;
    readonly target: TargetEntryView;
    readonly startedAt: Instant;
    readonly deadline: Instant;
    /** Whether this target was sent the call before, so that a late copy of its answer may arrive on a connection. */
    readonly isRepeatAtTarget: boolean;
}

/**
 * How an attempt ended. "failed": the target answered with status 500; "not-run": it did not run the call; "unknown":
 * no valid answer came, and it may have run the call; "cancelled": the call was no longer needed.
 */
export type RewardAttemptEnd = "scored" | "failed" | "not-run" | "unknown" | "cancelled";

/** What follows an attempt; "wait" is for another attempt in flight. */
export type RewardStep = "list" | "give-up" | "retry" | "wait";

/** Share of a target's slots that reward calls may take, so that its other callers find a free one. */
const maxSlotShare = 0.7;

/** Number of attempts at one call that may be in flight. */
const maxParallelAttempts = 2;

/** Share of the calls in flight that may have a second attempt; one may always have. */
const maxHedgedShare = 0.15;

/** Milliseconds before a call is sent again, by how its attempt ended. The time doubles with each attempt in a row. */
const retryDelayMs = { "failed": 20, "not-run": 40, "unknown": 40, "cancelled": 0 } as const;

/** Upper limit of the time before a call is sent again, in milliseconds. */
const maxRetryDelayMs = 640;

interface CallState {
    readonly inFlight: Set<TargetId>;
    readonly sentTo: Set<TargetId>;
    failures: number;
    /** Number of attempts in a row that gave neither a score nor an answer with status 500. */
    faults: number;
    maxAttempts: number;
    lastTarget: TargetId | undefined;
    notBefore: Instant;
    /** When a second attempt may begin beside the one in flight. */
    hedgeAt: Instant;
}

interface TargetState {
    inFlight: number;
    /** Upper limit of the calls in flight. */
    limit: number;
}

/** The reward calls of the open jobs. */
export class RewardQueue {
    private readonly calls = new Map<TaskRun, CallState>();
    private readonly targets = new Map<TargetId, TargetState>();
    private readonly selector: TargetSelector;

    constructor(zone: ZoneId) {
        this.selector = new TargetSelector(zone);
    }

    /**
     * Attempts to start at `now`. They count as in flight from this call on, until `end` is called for each.
     * `routeOf` returns the same object for all calls of one route and service, and `availableAt` how many more requests a
     * target's rate limit permits at `now`.
     */
    start(
        jobs: readonly OpenJob[],
        routeOf: (call: RewardCall, job: OpenJob) => RewardRoute | undefined,
        now: Instant,
        availableAt: (target: TargetEntryView) => number = () => Infinity,
    ): readonly RewardAttempt[] {
        const attempts: RewardAttempt[] = [];
        const runs = orderCalls(jobs);
        const isUnsent = (run: TaskRun): boolean => this.stateOf(run).inFlight.size === 0;
        const unsent = runs.filter(isUnsent);
        const sent = runs.filter(run => !isUnsent(run));
        /** Routes whose targets all have as many calls as they may, so that no further call needs to be tried there. */
        const fullRoutes = new Set<RewardRoute>();
        for (const run of [...unsent, ...sent]) {
            const state = this.stateOf(run);
            const isHedge = state.inFlight.size > 0;
            if (state.notBefore > now || isHedge && !this.canHedge(state, sent.length, unsent.some(isUnsent), now)) {
                continue;
            }
            const call = run.task.reward!;
            const route = routeOf(call, run.job);
            if (route === undefined || fullRoutes.has(route)) {
                continue;
            }
            if (route.targets.every(entry => !this.hasRoom(entry))) {
                fullRoutes.add(route);
                continue;
            }
            const isLimited = (entry: TargetEntryView): boolean => availableAt(entry) < Infinity;
            const startedAt = (entry: TargetEntryView): number =>
                attempts.filter(({ target: { target } }) => target === entry.target).length;
            const { targets } = route;
            // Targets with a rate limit come last, and get no second attempts while others may wait for theirs.
            const target = this.choose(targets.filter(entry => !isLimited(entry)), state, now) ?? (isHedge
                ? undefined
                : this.choose(
                    targets.filter(entry => isLimited(entry) && startedAt(entry) < availableAt(entry)),
                    state,
                    now,
                ));
            if (target !== undefined) {
                attempts.push(this.begin(run, call, state, route, target, now));
            }
        }
        return attempts;
    }

    /** Records how an attempt ended, and returns what follows. */
    end({ run, target, startedAt }: RewardAttempt, end: RewardAttemptEnd, now: Instant): RewardStep {
        this.recordAtTarget(target, end, now - startedAt, now);
        const state = this.calls.get(run);
        if (state === undefined) {
            return "wait";
        }
        state.inFlight.delete(target.target);
        if (end === "scored") {
            this.calls.delete(run);
            return "list";
        }
        state.failures += end === "failed" ? 1 : 0;
        state.faults = end === "failed" ? 0 : state.faults + 1;
        if (state.inFlight.size > 0) {
            return "wait";
        }
        if (state.failures >= state.maxAttempts) {
            this.calls.delete(run);
            return "give-up";
        }
        const delayMs = retryDelayMs[end] * 2 ** Math.max(0, state.faults - 1);
        state.notBefore = after(now, Math.min(maxRetryDelayMs, delayMs));
        return "retry";
    }

    /** Number of answers with status 500 that a call has had. */
    failuresOf(run: TaskRun): number {
        return this.calls.get(run)?.failures ?? 0;
    }

    /** Drops the state of calls that no open job waits for. */
    removeEnded(jobs: readonly OpenJob[]): void {
        for (const run of this.calls.keys()) {
            if (!run.job.scoring.has(run) || !jobs.includes(run.job)) {
                this.calls.delete(run);
            }
        }
    }

    /** Drops the state of targets that are not in `listed`. */
    removeUnlisted(listed: readonly TargetEntryView[]): void {
        const ids = new Set(listed.map(({ target }) => target));
        for (const [target, { inFlight }] of this.targets) {
            if (!ids.has(target) && inFlight === 0) {
                this.targets.delete(target);
            }
        }
        this.selector.removeUnlisted(ids);
    }

    /** The next time after `now` at which a delayed call or a second attempt may begin, or undefined if there is none. */
    nextStartAt(now: Instant): Instant | undefined {
        const times = [...this.calls.values()].flatMap(({ inFlight, notBefore, hedgeAt }) =>
            inFlight.size === 0 ? [notBefore] : inFlight.size < maxParallelAttempts ? [hedgeAt] : []
        ).filter(at => at > now);
        return times.length === 0 ? undefined : Math.min(...times) as Instant;
    }

    /**
     * Whether a call in flight may go to a second target: not while other calls wait to be sent, and for a share of the
     * calls in flight only, since a slow service would get twice the work just when it is overloaded.
     */
    private canHedge(state: CallState, sentCount: number, hasUnsent: boolean, now: Instant): boolean {
        const hedged = [...this.calls.values()].filter(({ inFlight }) => inFlight.size > 1).length;
        return !hasUnsent && state.hedgeAt <= now && state.inFlight.size < maxParallelAttempts
            && hedged < Math.max(1, sentCount * maxHedgedShare);
    }

    private hasRoom(entry: TargetEntryView): boolean {
        const { inFlight, limit } = this.targetStateOf(entry);
        return inFlight < limit;
    }

    private choose(targets: readonly TargetEntryView[], state: CallState, now: Instant): TargetEntryView | undefined {
        const free = targets.filter(entry => this.hasRoom(entry) && !state.inFlight.has(entry.target));
        return this.selector.choose(free, state.lastTarget === undefined ? [] : [state.lastTarget], now);
    }

    private begin(
        run: TaskRun,
        call: RewardCall,
        state: CallState,
        { maxAttempts, hedgeAfterMs, timeoutMs }: RewardRoute,
        target: TargetEntryView,
        now: Instant,
    ): RewardAttempt {
        const isRepeatAtTarget = state.sentTo.has(target.target);
        state.inFlight.add(target.target);
        state.sentTo.add(target.target);
        state.lastTarget = target.target;
        state.maxAttempts = Math.max(maxAttempts, run.job.terms.maxAttempts);
        state.hedgeAt = after(now, hedgeAfterMs);
        this.targetStateOf(target).inFlight++;
        this.selector.recordStart(target.target);
        return { run, call, target, startedAt: now, deadline: after(now, timeoutMs), isRepeatAtTarget };
    }

    private recordAtTarget(entry: TargetEntryView, end: RewardAttemptEnd, ms: number, now: Instant): void {
        const state = this.targetStateOf(entry);
        state.inFlight--;
        if (end === "not-run") {
            state.limit = Math.max(1, state.limit / 2);
        }
        if (end === "scored" || end === "failed") {
            state.limit = Math.min(maxCallsAt(entry), state.limit + 1 / state.limit);
            this.selector.recordAnswer(entry.target, ms);
        }
        else if (end === "unknown") {
            this.selector.recordFault(entry.target, now);
        }
        else {
            this.selector.recordCancelled(entry.target, ms);
        }
    }

    private stateOf(run: TaskRun): CallState {
        const known = this.calls.get(run);
        if (known !== undefined) {
            return known;
        }
        const state: CallState = {
            inFlight: new Set(),
            sentTo: new Set(),
            failures: 0,
            faults: 0,
            maxAttempts: 1,
            lastTarget: undefined,
            notBefore: 0 as Instant,
            hedgeAt: 0 as Instant,
        };
        this.calls.set(run, state);
        return state;
    }

    private targetStateOf(entry: TargetEntryView): TargetState {
        const known = this.targets.get(entry.target);
        if (known !== undefined) {
            return known;
        }
        const state = { inFlight: 0, limit: maxCallsAt(entry) };
        this.targets.set(entry.target, state);
        return state;
    }
}

function maxCallsAt({ slots }: TargetEntryView): number {
    return Math.max(1, Math.floor(slots * maxSlotShare));
}

/**
 * The waiting calls in the order in which they are sent: jobs that still lack awaited groups first, those that are due
 * first before others, and within a job the groups with the fewest tasks left.
 */
function orderCalls(jobs: readonly OpenJob[]): readonly TaskRun[] {
    const ranked = jobs.filter(({ scoring }) => scoring.size > 0).map(open => {
        const left = countLeftByGroup(open);
        const groups = new Set(open.job.tasks.map(({ group }) => group)).size;
        return { open, left, isSurplus: groups - left.size >= open.job.targetGroups };
    });
    ranked.sort((a, b) => Number(a.isSurplus) - Number(b.isSurplus) || a.open.terms.dueAt - b.open.terms.dueAt);
    return ranked.flatMap(({ open, left }) => {
        const leftOf = ({ task }: TaskRun): number => left.get(task.group) ?? 0;
        return [...open.scoring].sort((a, b) => leftOf(a) - leftOf(b));
    });
}

/** Number of tasks without a result by group, for the groups that have any. */
function countLeftByGroup({ waiting, running, scoring }: OpenJob): ReadonlyMap<GroupId, number> {
    const left = new Map<GroupId, number>();
    for (const { task: { group } } of [...waiting, ...running, ...scoring]) {
        left.set(group, (left.get(group) ?? 0) + 1);
    }
    return left;
}
