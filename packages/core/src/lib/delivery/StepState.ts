/**
 * The state of one step at its owner: which samples are waiting, running, ready or taken, and which batch is out.
 * It performs no I/O. Any owner can rebuild it from the step's specification and the trainer's cursor. Every event
 * costs constant time, apart from a pull, which reads the cursor's bitmap once.
 */

import { type AttemptId, type TargetId, type WeightVersion } from "../ids.js";
import { type PlannedAttempt, type RunningAttempt } from "./Attempt.js";
import { type Cursor, type Epoch, sameCursor, type StepIdentity } from "./Cursor.js";
import { ReadySamples } from "./ReadySamples.js";
import { addIndex, countSet, difference, emptySet, isSubset } from "./SampleSet.js";
import { fingerprint, planSamples, type Sample, type SamplePlan, stepKey, type StepSpec } from "./StepSpec.js";
import { areSpansConsistent, oldestVersion } from "./versionSpans.js";
import { WaitingQueue } from "./WaitingQueue.js";

/** What became of a finished attempt. */
export type FinishOutcome = "kept" | "late" | "too-old" | "versions-unknown";

/** The reply to a pull. */
export type PullOutcome =
    | { readonly kind: "batch"; readonly samples: readonly Sample[]; readonly cursor: Cursor; readonly done: boolean; }
    | { readonly kind: "empty"; readonly done: boolean; }
    /** The cursor lacks samples that a later cursor of the same trainer has acknowledged. */
    | { readonly kind: "superseded"; };

/** Counts of a step, for status and dump. */
export interface StepCounts {
    readonly waiting: number;
    readonly running: number;
    readonly ready: number;
    readonly taken: number;
    readonly discardedTooOld: number;
    readonly discardedLate: number;
    readonly discardedVersionsUnknown: number;
}

type Phase = "waiting" | "running" | "ready" | "taken";

interface OutstandingBatch {
    readonly answers: Cursor;
    readonly samples: readonly Sample[];
    readonly cursor: Cursor;
}

const maxBatchLength = 8 * 1024 * 1024;
const maxFailedTargets = 4;
const tailShare = 1 / 16;

/** Owner's record of one step. */
export class StepState {
    readonly identity: StepIdentity;
    private readonly plans: readonly SamplePlan[];
    private readonly phases: Phase[];
    private readonly tries: Uint16Array;
    private readonly attempts = new Map<number, AttemptId>();
    private readonly failedOn = new Map<number, readonly TargetId[]>();
    private readonly queue: WaitingQueue;
    private readonly ready: ReadySamples;
    private readonly tally: Record<Phase, number>;
    private readonly discarded = { tooOld: 0, late: 0, versionsUnknown: 0 };
    private readonly obsolete: AttemptId[] = [];
    private acknowledged: Uint8Array;
    private outstanding: OutstandingBatch | undefined;
    private trainerVersion: WeightVersion;
    private bound: number;
    private epochInUse: Epoch;

    constructor(readonly spec: StepSpec, owner: string) {
        this.plans = planSamples(spec.groups);
        const sampleCount = this.plans.length;
        this.identity = { stepKey: stepKey(spec), fingerprint: fingerprint(spec), sampleCount };
        this.phases = new Array<Phase>(sampleCount).fill("waiting");
        this.tally = { waiting: sampleCount, running: 0, ready: 0, taken: 0 };
        this.tries = new Uint16Array(sampleCount);
        this.queue = new WaitingQueue(sampleCount);
        this.ready = new ReadySamples(spec.groups, sampleCount);
        this.acknowledged = emptySet(sampleCount);
        this.trainerVersion = spec.weightVersion;
        this.bound = spec.stalenessBound;
        this.epochInUse = { number: 1, owner };
    }

    get key(): string {
        return this.identity.stepKey;
    }

    get sampleCount(): number {
        return this.plans.length;
    }

    get epoch(): Epoch {
        return this.epochInUse;
    }

    get stalenessBound(): number {
        return this.bound;
    }

    /** The specification with the bound that is in force, for a successor. */
    get effectiveSpec(): StepSpec {
        return { ...this.spec, stalenessBound: this.bound };
    }

    /** Highest weight version that the trainer is known to be at. */
    get version(): WeightVersion {
        return this.trainerVersion;
    }

    /** Notes a version that the trainer has published; lower ones are ignored. */
    recordVersion(version: WeightVersion): void {
        if (version > this.trainerVersion) {
            this.trainerVersion = version;
            this.dropStale();
        }
    }

    /** Takes a stricter staleness bound; a looser one is ignored, because a step never loosens. */
    tightenBound(bound: number): void {
        if (bound < this.bound) {
            this.bound = bound;
            this.dropStale();
        }
    }

    /** The lowest version that a sample may contain to be delivered now. */
    minFreshVersion(): WeightVersion {
        return (this.trainerVersion - this.bound) as WeightVersion;
    }

    /** Marks up to `limit` waiting samples as running and returns them. */
    start(limit: number): readonly PlannedAttempt[] {
        const started: PlannedAttempt[] = [];
        while (started.length < limit) {
            const index = this.queue.take(candidate => this.phases[candidate] === "waiting");
            if (index === undefined) {
                break;
            }
            started.push(this.startOne(index));
        }
        return started;
    }

    /** Records a sample. Attempts that are no longer current are late and change nothing. */
    finish(attempt: AttemptId, sample: Sample, versionsKnown: boolean): FinishOutcome {
        if (!this.isCurrent(attempt, sample.index)) {
            this.discarded.late++;
            return "late";
        }
        if (!versionsKnown || !areSpansConsistent(sample)) {
            this.discarded.versionsUnknown++;
            this.retry(sample.index);
            return "versions-unknown";
        }
        if (oldestVersion(sample.spans) < this.minFreshVersion()) {
            this.discarded.tooOld++;
            this.retry(sample.index);
            return "too-old";
        }
        this.keep(sample);
        return "kept";
    }

    /** Puts a failed attempt's sample back among the waiting; `target` is left out of the next attempts. */
    fail(attempt: AttemptId, index: number, target?: TargetId): void {
        if (!this.isCurrent(attempt, index)) {
            return;
        }
        if (target !== undefined) {
            const others = (this.failedOn.get(index) ?? []).filter(failed => failed !== target);
            this.failedOn.set(index, [...others, target].slice(-maxFailedTargets));
        }
        this.retry(index);
    }

    /** Answers a pull that presents `cursor` from a trainer at `version`. */
    pull(cursor: Cursor, version: WeightVersion, limit: number): PullOutcome {
        this.recordVersion(Math.max(version, cursor.version) as WeightVersion);
        if (this.outstanding !== undefined && sameCursor(this.outstanding.answers, cursor)) {
            return this.batchOutcome(this.outstanding);
        }
        if (!isSubset(this.acknowledged, cursor.taken)) {
            return { kind: "superseded" };
        }
        this.adopt(cursor);
        const samples = this.ready.next(limit, maxBatchLength);
        if (samples.length === 0) {
            return { kind: "empty", done: this.isDone() };
        }
        this.outstanding = { answers: cursor, samples, cursor: this.nextCursor(cursor, samples) };
        return this.batchOutcome(this.outstanding);
    }

    /** Takes out the running attempts whose samples the trainer got elsewhere; the owner cancels them. */
    takeObsoleteAttempts(): readonly AttemptId[] {
        return this.obsolete.splice(0);
    }

    isDone(): boolean {
        return this.tally.taken === this.sampleCount;
    }

    counts(): StepCounts {
        return {
            ...this.tally,
            discardedTooOld: this.discarded.tooOld,
            discardedLate: this.discarded.late,
            discardedVersionsUnknown: this.discarded.versionsUnknown,
        };
    }

    /** Stands for what the trainer has acknowledged here, for a successor. */
    acknowledgedCursor(): Cursor {
        const { epochInUse: epoch, trainerVersion: version, acknowledged: taken } = this;
        return { epoch, batch: 0, version, taken };
    }

    /** Takes over what the trainer has acknowledged at a former owner. */
    mergeAcknowledged(cursor: Cursor): void {
        this.recordVersion(cursor.version);
        const isNews = !isSubset(cursor.taken, this.acknowledged);
        if (isNews && isSubset(this.acknowledged, cursor.taken)) {
            this.adopt(cursor);
        }
    }

    /** The finished samples that the trainer has not acknowledged, for a successor. */
    readySamples(): readonly Sample[] {
        return [...this.ready.inOrder()];
    }

    /** The attempts that run now, for a successor. */
    runningAttempts(): readonly RunningAttempt[] {
        return [...this.attempts].map(([index, attempt]) => ({ index, attempt }));
    }

    /**
     * Takes a sample that a former owner produced. An attempt that already runs here goes on: which of the two ends
     * first must not decide between different samples.
     */
    acceptHandedOver(sample: Sample): FinishOutcome {
        if (this.phases[sample.index] === "waiting") {
            this.setRunning(sample.index, sample.attempt as AttemptId);
        }
        return this.finish(sample.attempt as AttemptId, sample, true);
    }

    /** Leaves a waiting sample to an attempt that still runs at a former owner; it ends by `receive` or `fail`. */
    awaitAttempt({ index, attempt }: RunningAttempt): boolean {
        const isFree = this.phases[index] === "waiting";
        if (isFree) {
            this.setRunning(index, attempt);
        }
        return isFree;
    }

    private startOne(index: number): PlannedAttempt {
        const earlier = this.tries[index]!;
        this.tries[index] = earlier + 1;
        const { number, owner } = this.epochInUse;
        const attempt = `${this.key}/${index}/${number}.${owner}.${earlier + 1}` as AttemptId;
        this.setRunning(index, attempt);
        const failedOn = this.failedOn.get(index) ?? [];
        return {
            attempt,
            plan: this.plans[index]!,
            earlierAttempts: earlier,
            failedTargets: failedOn,
            isTail: this.isTail(index),
        };
    }

    private isTail(index: number): boolean {
        const open = this.tally.waiting + this.tally.running;
        return open <= this.sampleCount * tailShare || this.ready.isLastOfGroup(index);
    }

    private setRunning(index: number, attempt: AttemptId): void {
        this.setPhase(index, "running");
        this.attempts.set(index, attempt);
    }

    private setPhase(index: number, phase: Phase): void {
        this.tally[this.phases[index]!]--;
        this.tally[phase]++;
        this.phases[index] = phase;
        this.attempts.delete(index);
    }

    private keep(sample: Sample): void {
        this.setPhase(sample.index, "ready");
        this.failedOn.delete(sample.index);
        this.ready.add(sample);
    }

    private retry(index: number): void {
        this.setPhase(index, "waiting");
        this.queue.putBack(index);
    }

    private dropStale(): void {
        const stale = this.ready.dropOlderThan(this.minFreshVersion());
        stale.forEach(index => this.retry(index));
        this.discarded.tooOld += stale.length;
        if (this.outstanding?.samples.some(sample => this.phases[sample.index] !== "ready") === true) {
            this.outstanding = undefined;
        }
    }

    private batchOutcome({ samples, cursor }: OutstandingBatch): PullOutcome {
        return { kind: "batch", samples, cursor, done: countSet(cursor.taken) === this.sampleCount };
    }

    private nextCursor(cursor: Cursor, samples: readonly Sample[]): Cursor {
        const taken = Uint8Array.from(cursor.taken);
        samples.forEach(sample => addIndex(taken, sample.index));
        return { epoch: this.epochInUse, batch: cursor.batch + 1, version: this.trainerVersion, taken };
    }

    private adopt(cursor: Cursor): void {
        const { number, owner } = cursor.epoch;
        if (owner !== this.epochInUse.owner && number >= this.epochInUse.number) {
            this.epochInUse = { number: number + 1, owner: this.epochInUse.owner };
        }
        this.outstanding = undefined;
        difference(cursor.taken, this.acknowledged).forEach(index => this.acknowledge(index));
        this.acknowledged = cursor.taken;
    }

    private acknowledge(index: number): void {
        const attempt = this.attempts.get(index);
        if (attempt !== undefined) {
            this.obsolete.push(attempt);
        }
        this.setPhase(index, "taken");
        this.failedOn.delete(index);
        this.ready.take(index);
    }

    private isCurrent(attempt: AttemptId, index: number): boolean {
        return this.attempts.get(index) === attempt;
    }
}
