/**
 * The state of one step at its owner: which samples are waiting, running, ready, or taken (acknowledged by the
 * trainer), and which batch is outstanding (delivered but not acknowledged). It performs no I/O. Any owner can rebuild
 * it from the step's specification and the trainer's cursor. Each event takes constant time, except a pull, which reads
 * the cursor's bitmap once.
 */

import { type AttemptId, type TargetId, type WeightVersion } from "../ids.js";
import { type PlannedAttempt, type RunningAttempt } from "./Attempt.js";
import { type Cursor, type Epoch, isSameCursor, type StepIdentity } from "./Cursor.js";
import { ReadySamples } from "./ReadySamples.js";
import { addIndex, countSet, difference, emptySet, isSubset } from "./SampleSet.js";
import { fingerprint, planSamples, type Sample, type SamplePlan, stepKey, type StepSpec } from "./StepSpec.js";
import { areSpansConsistent, oldestVersion } from "./versionSpans.js";
import { WaitingQueue } from "./WaitingQueue.js";

/** What happens to the sample of a finished attempt: it is kept, or discarded for one of three reasons. */
export type FinishOutcome = "kept" | "late" | "too-old" | "versions-unknown";

/** The reply to a pull. */
export type PullOutcome =
    | { readonly kind: "batch"; readonly samples: readonly Sample[]; readonly cursor: Cursor; readonly done: boolean; }
    | { readonly kind: "empty"; readonly done: boolean; }
    /** The cursor lacks samples that a later cursor of the same trainer has acknowledged. */
    | { readonly kind: "superseded"; };

/** Sample counts of a step, for its status and the dump. */
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
    /** The cursor that the pull presented. */
    readonly answers: Cursor;
    readonly samples: readonly Sample[];
    /** The cursor that acknowledges the batch. */
    readonly cursor: Cursor;
}

const maxBatchCharacters = 8 * 1024 * 1024;
const maxFailedTargets = 4;
/** A sample is in the tail of its step when at most this share of the step is unfinished. */
const tailShare = 1 / 16;

/** Tracks the samples and the outstanding batch of one step. */
export class StepState {
    readonly identity: StepIdentity;
    private readonly plans: readonly SamplePlan[];
    private readonly phases: Phase[];
    private readonly attemptCounts: Uint16Array;
    private readonly attempts = new Map<number, AttemptId>();
    private readonly failedTargets = new Map<number, readonly TargetId[]>();
    private readonly queue: WaitingQueue;
    private readonly ready: ReadySamples;
    private readonly phaseCounts: Record<Phase, number>;
    private readonly discarded = { tooOld: 0, late: 0, versionsUnknown: 0 };
    private readonly obsoleteAttempts: AttemptId[] = [];
    private acknowledged: Uint8Array;
    private outstanding: OutstandingBatch | undefined;
    private trainerVersion: WeightVersion;
    private currentBound: number;
    private currentEpoch: Epoch;

    constructor(readonly spec: StepSpec, owner: string) {
        this.plans = planSamples(spec.groups);
        const sampleCount = this.plans.length;
        this.identity = { stepKey: stepKey(spec), fingerprint: fingerprint(spec), sampleCount };
        this.phases = new Array<Phase>(sampleCount).fill("waiting");
        this.phaseCounts = { waiting: sampleCount, running: 0, ready: 0, taken: 0 };
        this.attemptCounts = new Uint16Array(sampleCount);
        this.queue = new WaitingQueue(sampleCount);
        this.ready = new ReadySamples(spec.groups, sampleCount);
        this.acknowledged = emptySet(sampleCount);
        this.trainerVersion = spec.weightVersion;
        this.currentBound = spec.stalenessBound;
        this.currentEpoch = { number: 1, owner };
    }

    get key(): string {
        return this.identity.stepKey;
    }

    get sampleCount(): number {
        return this.plans.length;
    }

    get epoch(): Epoch {
        return this.currentEpoch;
    }

    get stalenessBound(): number {
        return this.currentBound;
    }

    /** The specification with the effective staleness bound, to hand to a successor. */
    get effectiveSpec(): StepSpec {
        return { ...this.spec, stalenessBound: this.currentBound };
    }

    /** Highest recorded weight version of the trainer. */
    get version(): WeightVersion {
        return this.trainerVersion;
    }

    /** Records a version that the trainer has published; lower ones are ignored. */
    recordVersion(version: WeightVersion): void {
        if (version > this.trainerVersion) {
            this.trainerVersion = version;
            this.dropTooOld();
        }
    }

    /** Applies a stricter staleness bound; a looser one is ignored, because the bound of a step is never raised. */
    tightenBound(bound: number): void {
        if (bound < this.currentBound) {
            this.currentBound = bound;
            this.dropTooOld();
        }
    }

    /** Returns the lowest weight version that a sample to be delivered may contain. */
    minFreshVersion(): WeightVersion {
        return (this.trainerVersion - this.currentBound) as WeightVersion;
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

    /** Records a finished sample. An attempt that is not the current one is counted as late and its sample dropped. */
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
        this.addReady(sample);
        return "kept";
    }

    /** Queues the sample of a failed attempt again; `target` is passed to the next attempts as a failed one. */
    fail(attempt: AttemptId, index: number, target?: TargetId): void {
        if (!this.isCurrent(attempt, index)) {
            return;
        }
        if (target !== undefined) {
            const others = (this.failedTargets.get(index) ?? []).filter(failed => failed !== target);
            this.failedTargets.set(index, [...others, target].slice(-maxFailedTargets));
        }
        this.retry(index);
    }

    /** Handles a pull that presents `cursor`, from a trainer at weight version `version`. */
    pull(cursor: Cursor, version: WeightVersion, limit: number): PullOutcome {
        this.recordVersion(Math.max(version, cursor.version) as WeightVersion);
        if (this.outstanding !== undefined && isSameCursor(this.outstanding.answers, cursor)) {
            return this.batchOutcome(this.outstanding);
        }
        if (!isSubset(this.acknowledged, cursor.taken)) {
            return { kind: "superseded" };
        }
        this.applyCursor(cursor);
        const samples = this.ready.next(limit, maxBatchCharacters);
        if (samples.length === 0) {
            return { kind: "empty", done: this.isDone() };
        }
        this.outstanding = { answers: cursor, samples, cursor: this.nextCursor(cursor, samples) };
        return this.batchOutcome(this.outstanding);
    }

    /** Removes and returns the running attempts whose samples another owner has delivered; the caller cancels them. */
    takeObsoleteAttempts(): readonly AttemptId[] {
        return this.obsoleteAttempts.splice(0);
    }

    isDone(): boolean {
        return this.phaseCounts.taken === this.sampleCount;
    }

    counts(): StepCounts {
        return {
            ...this.phaseCounts,
            discardedTooOld: this.discarded.tooOld,
            discardedLate: this.discarded.late,
            discardedVersionsUnknown: this.discarded.versionsUnknown,
        };
    }

    /** Returns a cursor over the samples that the trainer has acknowledged, to hand to a successor. */
    acknowledgedCursor(): Cursor {
        const { currentEpoch: epoch, trainerVersion: version, acknowledged: taken } = this;
        return { epoch, batch: 0, version, taken };
    }

    /** Merges the acknowledgements of the trainer at a former owner. */
    mergeAcknowledged(cursor: Cursor): void {
        this.recordVersion(cursor.version);
        const hasNewSamples = !isSubset(cursor.taken, this.acknowledged);
        if (hasNewSamples && isSubset(this.acknowledged, cursor.taken)) {
            this.applyCursor(cursor);
        }
    }

    /** Returns the finished samples that the trainer has not acknowledged, to hand to a successor. */
    readySamples(): readonly Sample[] {
        return [...this.ready.inDeliveryOrder()];
    }

    /** Returns the running attempts, to hand to a successor. */
    runningAttempts(): readonly RunningAttempt[] {
        return [...this.attempts].map(([index, attempt]) => ({ index, attempt }));
    }

    /**
     * Accepts a sample that a former owner generated. If an attempt at it already runs here, the sample is dropped as
     * late and the attempt continues: which of the two ends first must not decide between different samples.
     */
    acceptHandedOver(sample: Sample): FinishOutcome {
        if (this.phases[sample.index] === "waiting") {
            this.setRunning(sample.index, sample.attempt as AttemptId);
        }
        return this.finish(sample.attempt as AttemptId, sample, true);
    }

    /**
     * Assigns a waiting sample to an attempt that still runs at a former owner, and returns whether it was waiting. The
     * attempt ends with `acceptHandedOver` or `fail`.
     */
    awaitAttempt({ index, attempt }: RunningAttempt): boolean {
        const isWaiting = this.phases[index] === "waiting";
        if (isWaiting) {
            this.setRunning(index, attempt);
        }
        return isWaiting;
    }

    private startOne(index: number): PlannedAttempt {
        const earlierAttempts = this.attemptCounts[index]!;
        this.attemptCounts[index] = earlierAttempts + 1;
        const { number, owner } = this.currentEpoch;
        const attempt = `${this.key}/${index}/${number}.${owner}.${earlierAttempts + 1}` as AttemptId;
        this.setRunning(index, attempt);
        const failedTargets = this.failedTargets.get(index) ?? [];
        return {
            attempt,
            plan: this.plans[index]!,
            earlierAttempts,
            failedTargets,
            isTail: this.isTail(index),
        };
    }

    private isTail(index: number): boolean {
        const unfinished = this.phaseCounts.waiting + this.phaseCounts.running;
        return unfinished <= this.sampleCount * tailShare || this.ready.isLastOfGroup(index);
    }

    private setRunning(index: number, attempt: AttemptId): void {
        this.setPhase(index, "running");
        this.attempts.set(index, attempt);
    }

    private setPhase(index: number, phase: Phase): void {
        this.phaseCounts[this.phases[index]!]--;
        this.phaseCounts[phase]++;
        this.phases[index] = phase;
        this.attempts.delete(index);
    }

    private addReady(sample: Sample): void {
        this.setPhase(sample.index, "ready");
        this.failedTargets.delete(sample.index);
        this.ready.add(sample);
    }

    private retry(index: number): void {
        this.setPhase(index, "waiting");
        this.queue.requeue(index);
    }

    private dropTooOld(): void {
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
        return { epoch: this.currentEpoch, batch: cursor.batch + 1, version: this.trainerVersion, taken };
    }

    private applyCursor(cursor: Cursor): void {
        const { number, owner } = cursor.epoch;
        if (owner !== this.currentEpoch.owner && number >= this.currentEpoch.number) {
            this.currentEpoch = { number: number + 1, owner: this.currentEpoch.owner };
        }
        this.outstanding = undefined;
        difference(cursor.taken, this.acknowledged).forEach(index => this.acknowledge(index));
        this.acknowledged = cursor.taken;
    }

    private acknowledge(index: number): void {
        const attempt = this.attempts.get(index);
        if (attempt !== undefined) {
            this.obsoleteAttempts.push(attempt);
        }
        this.setPhase(index, "taken");
        this.failedTargets.delete(index);
        this.ready.markReceived(index);
    }

    private isCurrent(attempt: AttemptId, index: number): boolean {
        return this.attempts.get(index) === attempt;
    }
}
