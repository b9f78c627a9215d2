/**
 * Owns steps: keeps the state of each step that is placed on this host, produces its samples and answers its trainer's
 * pulls. The state is not stored, because a step can be rebuilt from its specification and the trainer's cursor.
 */

import {
    acceptsWork,
    after,
    type Cursor,
    findStepDifferences,
    fingerprint,
    FreshnessEstimator,
    type HostId,
    type Instant,
    ownerName,
    type PeerRequests,
    type Problem,
    problem,
    type ServiceId,
    sleepUntil,
    stepKey,
    type StepPullRequest,
    type StepPullResponse,
    type StepReference,
    type StepSpec,
    type StepStatus,
} from "@tamarackpath/core";
import { type Either, Left, Right } from "purify-ts";
import { type Context, type Task } from "../Context.js";
import { type DispatchTask } from "./DispatchTask.js";
import { EndedSteps } from "./EndedSteps.js";
import { type MembershipTask } from "./MembershipTask.js";
import { OwnedStep } from "./OwnedStep.js";
import { repeat } from "./repeat.js";
import { SampleRunner } from "./SampleRunner.js";
import {
    cancelledProblem,
    createPullAnswer,
    deadlineProblem,
    readCursor,
    specNeededProblem,
    supersededProblem,
} from "./stepAnswers.js";
import { StepHandover } from "./StepHandover.js";
import { type TargetTask } from "./TargetTask.js";

const maxSteps = 256;
const cleanupIntervalMs = 500;
const announceIntervalMs = 2000;
const endedStepTtlMs = 600_000;
const retryAfterMs = 500;
/** Attempts start after this time even if the trainer has not pulled yet. */
const firstPullTimeoutMs = 100;
const drainPollIntervalMs = 100;
const handoverTimeoutMs = 60_000;

/** The steps that this host owns. */
export class StepTask implements Task {
    readonly name = "steps";
    private readonly steps = new Map<string, OwnedStep>();
    private readonly ended = new EndedSteps();
    private readonly freshnessEstimators = new Map<ServiceId, FreshnessEstimator>();
    private readonly runner: SampleRunner;
    private readonly handover: StepHandover;
    private readonly cancelTimers: (() => void)[] = [];
    private isStopping = false;
    private draining: Promise<void> | undefined;

    constructor(
        private readonly ctx: Context,
        dispatch: DispatchTask,
        private readonly targets: TargetTask,
        members: MembershipTask,
    ) {
        this.runner = new SampleRunner(ctx, dispatch);
        this.handover = new StepHandover(ctx, members);
    }

    start(): void {
        const { peers } = this.ctx.ports;
        peers.handle("step-put", spec => Promise.resolve(this.put(spec)));
        peers.handle("step-pull", request => this.pull(request));
        peers.handle("step-status", ref => Promise.resolve(this.status(ref)));
        peers.handle("step-cancel", ref => Promise.resolve(this.cancel(ref)));
        peers.handle("step-announce", (request, from) => Promise.resolve(this.onAnnouncement(request, from)));
        peers.handle("step-handover", (request, from) => Promise.resolve(this.onHandover(request, from)));
        this.ctx.bus.on("versionPublished", ({ service, version }) => {
            this.freshnessEstimatorOf(service).recordVersion(version, this.ctx.clock.now());
            this.stepsOf(service).forEach(step => step.state.recordVersion(version));
        });
        this.ctx.bus.on("configApplied", doc => {
            doc.services.forEach(({ service, stalenessBound }) =>
                this.stepsOf(service).forEach(step => step.state.tightenBound(stalenessBound))
            );
            this.steps.forEach(step => step.startAttempts());
        });
        this.ctx.bus.on("stopping", () => void this.drain(after(this.ctx.clock.now(), handoverTimeoutMs)));
        this.cancelTimers.push(repeat(this.ctx, cleanupIntervalMs, () => this.cleanUp()));
        this.cancelTimers.push(repeat(this.ctx, announceIntervalMs, () => this.announce()));
    }

    /** Hands every step over to its next owner and waits until the attempts on this host end, or until `deadline`. */
    drain(deadline: Instant): Promise<void> {
        this.draining ??= this.handOverAll(deadline);
        return this.draining;
    }

    stop(): void {
        this.cancelTimers.forEach(cancel => cancel());
        this.steps.forEach(step => step.end());
    }

    /** Accepts a step. Idempotent: the same specification again changes nothing. */
    put(spec: StepSpec): Either<Problem, StepStatus> {
        const key = stepKey(spec);
        const ended = this.ended.get(key);
        if (ended !== undefined) {
            return ended.status !== undefined && ended.outcome === "whole"
                ? Right(ended.status)
                : Left(cancelledProblem());
        }
        const existing = this.steps.get(key);
        if (existing !== undefined && existing.phase !== "ended") {
            existing.state.tightenBound(spec.stalenessBound);
            const findings = findStepDifferences(existing.state.spec, spec);
            return findings.length === 0
                ? Right(existing.status(false))
                : Left(problem("conflict", "The step was submitted before with other contents.", { findings }));
        }
        return this.checkAdmission(spec).map(() => this.accept(spec).status(false));
    }

    async pull(request: StepPullRequest): Promise<Either<Problem, StepPullResponse>> {
        for (;;) {
            const found = this.findStep(request);
            if (found.isLeft()) {
                return Left(found.extract() as Problem);
            }
            const step = found.unsafeCoerce();
            const cursor = readCursor(step.state, request);
            if (cursor.isLeft()) {
                return Left(cursor.extract() as Problem);
            }
            const answer = this.pullOnce(step, cursor.unsafeCoerce(), request);
            if (answer !== undefined) {
                return answer;
            }
            await step.waitForChange(Math.min(request.waitUntil, step.state.spec.deadline) as Instant);
        }
    }

    status(ref: StepReference): Either<Problem, StepStatus> {
        const ended = this.ended.get(stepKey(ref))?.status;
        return ended === undefined ? this.findStep(ref).map(step => step.status(false)) : Right(ended);
    }

    /** Cancels a step permanently, together with its running attempts. */
    cancel(ref: StepReference): Either<Problem, StepStatus> {
        const key = stepKey(ref);
        const ended = this.ended.get(key);
        if (ended !== undefined) {
            return ended.status === undefined ? Left(specNeededProblem()) : Right(ended.status);
        }
        const step = this.steps.get(key);
        const status = step?.status(true);
        const deadline = step?.state.spec.deadline ?? this.ctx.clock.now();
        this.ended.add(key, { outcome: "cancelled", status, forgetAt: after(deadline, endedStepTtlMs) });
        this.removeStep(key);
        return status === undefined ? Left(specNeededProblem()) : Right(status);
    }

    dump(): unknown {
        return [...this.steps.values()].map(step => ({
            step: step.state.key,
            phase: step.phase,
            epoch: step.state.epoch,
            deadline: step.state.spec.deadline,
            pulledAt: step.pulledAt,
            samples: step.state.sampleCount,
            attemptsRunning: step.attemptsRunning,
            counts: step.state.counts(),
        }));
    }

    private async handOverAll(deadline: Instant): Promise<void> {
        this.isStopping = true;
        this.handover.isStopping = true;
        const steps = [...this.steps.values()];
        await Promise.all(steps.map(step => this.handover.handOverToNext(step, deadline)));
        while (steps.some(step => step.attemptsRunning > 0) && this.ctx.clock.now() < deadline) {
            await sleepUntil(this.ctx.clock, after(this.ctx.clock.now(), drainPollIntervalMs));
        }
    }

    private checkAdmission(spec: StepSpec): Either<Problem, void> {
        const retry = { allowed: true, notBefore: after(this.ctx.clock.now(), retryAfterMs) };
        if (this.isStopping) {
            return Left(problem("stopping", "The host takes no new steps.", { retry }));
        }
        if (this.ctx.clock.now() >= spec.deadline) {
            return Left(problem("deadline-exceeded", "The step's deadline had passed on arrival."));
        }
        return this.steps.size < maxSteps
            ? Right(undefined)
            : Left(problem("too-many-requests", `The host holds ${maxSteps} steps.`, { retry }));
    }

    private accept(spec: StepSpec): OwnedStep {
        const { ctx, runner } = this;
        const step = new OwnedStep(spec, ownerName(ctx.host, ctx.incarnation), {
            ctx,
            runner,
            freshnessEstimator: this.freshnessEstimatorOf(spec.service),
            engines: ({ enginePool }) =>
                this.targets.all().filter(view => view.pool === enginePool && acceptsWork(view)),
        });
        this.steps.set(step.state.key, step);
        ctx.log("steps").info("A step was accepted.", { step: step.state.key, samples: step.state.sampleCount });
        void this.handover.announce(step);
        ctx.clock.callAt(after(ctx.clock.now(), firstPullTimeoutMs), () => step.startAttempts());
        return step;
    }

    private findStep(ref: StepReference): Either<Problem, OwnedStep> {
        const key = stepKey(ref);
        if (this.ended.get(key)?.outcome === "cancelled") {
            return Left(cancelledProblem());
        }
        const step = this.steps.get(key);
        if (step === undefined) {
            return Left(specNeededProblem());
        }
        return step.phase === "serving" || step.phase === "finishing"
            ? Right(step)
            : Left(problem("stopping", "The step moved to another host.", { retry: { allowed: true } }));
    }

    /** Answers a pull, or returns undefined when the pull should wait. */
    private pullOnce(
        step: OwnedStep,
        cursor: Cursor,
        request: StepPullRequest,
    ): Either<Problem, StepPullResponse> | undefined {
        const { state } = step;
        const now = this.ctx.clock.now();
        step.pulledAt = now;
        const version = request.weightVersion ?? state.spec.weightVersion;
        this.freshnessEstimatorOf(state.spec.service).recordVersion(version, now);
        const outcome = state.pull(cursor, version, request.maxSamples);
        step.cancelObsolete();
        step.startAttempts();
        if (outcome.kind === "superseded") {
            return Left(supersededProblem());
        }
        if (outcome.kind === "empty" && !outcome.done) {
            return this.emptyAnswer(step, cursor, request, now);
        }
        if (outcome.kind === "empty") {
            this.complete(step);
        }
        return Right(createPullAnswer(step.state, cursor, request, outcome));
    }

    private emptyAnswer(
        step: OwnedStep,
        cursor: Cursor,
        request: StepPullRequest,
        now: Instant,
    ): Either<Problem, StepPullResponse> | undefined {
        const { state } = step;
        if (now >= state.spec.deadline) {
            return Left(deadlineProblem(state));
        }
        return now >= request.waitUntil
            ? Right(createPullAnswer(step.state, cursor, request, { kind: "empty", done: false }))
            : undefined;
    }

    private complete(step: OwnedStep): void {
        const { key, spec } = step.state;
        const forgetAt = after(spec.deadline, endedStepTtlMs);
        this.ended.add(key, { outcome: "whole", status: step.status(false), forgetAt });
        step.end();
    }

    private onAnnouncement(
        request: PeerRequests["step-announce"]["ask"],
        from: HostId,
    ): Either<Problem, PeerRequests["step-announce"]["answer"]> {
        const step = this.steps.get(stepKey(request));
        if (step === undefined || step.phase !== "serving") {
            return Right({ epoch: undefined });
        }
        this.handover.onAnnouncement(step, request, from);
        return Right({ epoch: step.state.epoch });
    }

    private onHandover(
        request: PeerRequests["step-handover"]["ask"],
        from: HostId,
    ): Either<Problem, PeerRequests["step-handover"]["answer"]> {
        const key = stepKey(request.spec);
        if (this.ended.get(key) !== undefined) {
            return Left(cancelledProblem());
        }
        const existing = this.steps.get(key);
        const step: Either<Problem, OwnedStep> = existing === undefined || existing.phase === "ended"
            ? this.checkAdmission(request.spec).map(() => this.accept(request.spec))
            : Right(existing);
        return step.chain(owned => this.takeOver(owned, request, from));
    }

    private takeOver(
        step: OwnedStep,
        request: PeerRequests["step-handover"]["ask"],
        from: HostId,
    ): Either<Problem, PeerRequests["step-handover"]["answer"]> {
        const isSame = step.state.identity.fingerprint === fingerprint(request.spec);
        if (step.phase !== "serving" || !isSame) {
            return Left(problem("conflict", "The step is not served here."));
        }
        return Right({ awaited: this.handover.accept(step, request, from) });
    }

    private cleanUp(): void {
        const now = this.ctx.clock.now();
        this.ended.removeExpired(now);
        for (const [key, step] of this.steps) {
            if (now >= step.state.spec.deadline) {
                step.cancelExcept(() => false);
            }
            if (step.phase === "ended" || now >= step.state.spec.deadline + endedStepTtlMs) {
                this.removeStep(key);
                continue;
            }
            this.handover.releaseExpired(step, now);
            step.checkProgress(now);
        }
    }

    private async announce(): Promise<void> {
        const serving = [...this.steps.values()].filter(step => step.phase === "serving");
        await Promise.all(serving.map(step => this.handover.announce(step)));
    }

    private removeStep(key: string): void {
        this.steps.get(key)?.end();
        this.steps.delete(key);
        this.handover.forget(key);
    }

    private freshnessEstimatorOf(service: ServiceId): FreshnessEstimator {
        const estimator = this.freshnessEstimators.get(service) ?? new FreshnessEstimator();
        this.freshnessEstimators.set(service, estimator);
        return estimator;
    }

    private stepsOf(service: ServiceId): readonly OwnedStep[] {
        return [...this.steps.values()].filter(step => step.state.spec.service === service);
    }
}
