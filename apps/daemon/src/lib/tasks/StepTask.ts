/**
 * Owns steps: keeps the ledger of each step that is placed here, produces its samples and answers its trainer's pulls.
 * A step is rebuilt from its specification and the trainer's cursor, so nothing of it is stored.
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
    answerOf,
    cancelledProblem,
    deadlineProblem,
    readCursor,
    specNeeded,
    supersededProblem,
} from "./stepAnswers.js";
import { StepHandover } from "./StepHandover.js";
import { type TargetTask } from "./TargetTask.js";

const maxSteps = 256;
const sweepEveryMs = 500;
const announceEveryMs = 2000;
const forgetAfterMs = 600_000;
const retryAfterMs = 500;
const firstPullWithinMs = 100;
const drainPollMs = 100;
const handOverWithinMs = 60_000;

/** The steps that this host owns. */
export class StepTask implements Task {
    readonly name = "steps";
    private readonly steps = new Map<string, OwnedStep>();
    private readonly ended = new EndedSteps();
    private readonly forecasts = new Map<ServiceId, FreshnessEstimator>();
    private readonly runner: SampleRunner;
    private readonly handover: StepHandover;
    private readonly cancels: (() => void)[] = [];
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
        peers.handle("step-pull", ask => this.pull(ask));
        peers.handle("step-status", ref => Promise.resolve(this.status(ref)));
        peers.handle("step-cancel", ref => Promise.resolve(this.cancel(ref)));
        peers.handle("step-announce", (ask, from) => Promise.resolve(this.onAnnounced(ask, from)));
        peers.handle("step-handover", (ask, from) => Promise.resolve(this.onHandover(ask, from)));
        this.ctx.bus.on("versionPublished", ({ service, version }) => {
            this.forecast(service).recordVersion(version, this.ctx.clock.now());
            this.ofService(service).forEach(step => step.ledger.recordVersion(version));
        });
        this.ctx.bus.on("configApplied", doc => {
            doc.services.forEach(({ service, stalenessBound }) =>
                this.ofService(service).forEach(step => step.ledger.tightenBound(stalenessBound))
            );
            this.steps.forEach(step => step.pump());
        });
        this.ctx.bus.on("stopping", () => void this.drain(after(this.ctx.clock.now(), handOverWithinMs)));
        this.cancels.push(repeat(this.ctx, sweepEveryMs, () => this.sweep()));
        this.cancels.push(repeat(this.ctx, announceEveryMs, () => this.announce()));
    }

    /** Hands every step to its next owner and waits until the attempts that run here have ended. */
    drain(deadline: Instant): Promise<void> {
        this.draining ??= this.handAllOver(deadline);
        return this.draining;
    }

    stop(): void {
        this.cancels.forEach(cancel => cancel());
        this.steps.forEach(step => step.end());
    }

    /** Takes a step; the same specification again changes nothing. */
    put(spec: StepSpec): Either<Problem, StepStatus> {
        const key = stepKey(spec);
        const ended = this.ended.get(key);
        if (ended !== undefined) {
            return ended.status !== undefined && ended.how === "whole" ? Right(ended.status) : Left(cancelledProblem());
        }
        const known = this.steps.get(key);
        if (known !== undefined && known.phase !== "ended") {
            known.ledger.tightenBound(spec.stalenessBound);
            const findings = findStepDifferences(known.ledger.spec, spec);
            return findings.length === 0
                ? Right(known.status(false))
                : Left(problem("conflict", "The step was submitted before with other contents.", { findings }));
        }
        return this.refusal(spec).map(() => this.take(spec).status(false));
    }

    async pull(ask: StepPullRequest): Promise<Either<Problem, StepPullResponse>> {
        for (;;) {
            const found = this.find(ask);
            if (found.isLeft()) {
                return Left(found.extract() as Problem);
            }
            const step = found.unsafeCoerce();
            const cursor = readCursor(step.ledger, ask);
            if (cursor.isLeft()) {
                return Left(cursor.extract() as Problem);
            }
            const answer = this.pullOnce(step, cursor.unsafeCoerce(), ask);
            if (answer !== undefined) {
                return answer;
            }
            await step.nextChange(Math.min(ask.waitUntil, step.ledger.spec.deadline) as Instant);
        }
    }

    status(ref: StepReference): Either<Problem, StepStatus> {
        const ended = this.ended.get(stepKey(ref))?.status;
        return ended === undefined ? this.find(ref).map(step => step.status(false)) : Right(ended);
    }

    /** Stops a step for good; its running attempts are cancelled at their engines. */
    cancel(ref: StepReference): Either<Problem, StepStatus> {
        const key = stepKey(ref);
        const ended = this.ended.get(key);
        if (ended !== undefined) {
            return ended.status === undefined ? Left(specNeeded()) : Right(ended.status);
        }
        const step = this.steps.get(key);
        const status = step?.status(true);
        const deadline = step?.ledger.spec.deadline ?? this.ctx.clock.now();
        this.ended.add(key, { how: "cancelled", status, forgetAt: after(deadline, forgetAfterMs) });
        this.drop(key);
        return status === undefined ? Left(specNeeded()) : Right(status);
    }

    dump(): unknown {
        return [...this.steps.values()].map(step => ({
            step: step.ledger.key,
            phase: step.phase,
            epoch: step.ledger.epoch,
            deadline: step.ledger.spec.deadline,
            pulledAt: step.pulledAt,
            samples: step.ledger.sampleCount,
            attemptsRunning: step.attemptsRunning,
            counts: step.ledger.counts(),
        }));
    }

    private async handAllOver(deadline: Instant): Promise<void> {
        this.isStopping = true;
        this.handover.isStopping = true;
        const steps = [...this.steps.values()];
        await Promise.all(steps.map(step => this.handover.giveToNext(step, deadline)));
        while (steps.some(step => step.attemptsRunning > 0) && this.ctx.clock.now() < deadline) {
            await sleepUntil(this.ctx.clock, after(this.ctx.clock.now(), drainPollMs));
        }
    }

    private refusal(spec: StepSpec): Either<Problem, void> {
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

    private take(spec: StepSpec): OwnedStep {
        const { ctx, runner } = this;
        const step = new OwnedStep(spec, ownerName(ctx.host, ctx.incarnation), {
            ctx,
            runner,
            forecast: this.forecast(spec.service),
            engines: ({ enginePool }) =>
                this.targets.all().filter(view => view.pool === enginePool && acceptsWork(view)),
        });
        this.steps.set(step.ledger.key, step);
        ctx.log("steps").info("A step was taken.", { step: step.ledger.key, samples: step.ledger.sampleCount });
        void this.handover.announce(step);
        ctx.clock.callAt(after(ctx.clock.now(), firstPullWithinMs), () => step.pump());
        return step;
    }

    private find(ref: StepReference): Either<Problem, OwnedStep> {
        const key = stepKey(ref);
        if (this.ended.get(key)?.how === "cancelled") {
            return Left(cancelledProblem());
        }
        const step = this.steps.get(key);
        if (step === undefined) {
            return Left(specNeeded());
        }
        return step.phase === "serving" || step.phase === "finishing"
            ? Right(step)
            : Left(problem("stopping", "The step moved to another host.", { retry: { allowed: true } }));
    }

    /** Answers a pull, or returns undefined when it should wait. */
    private pullOnce(
        step: OwnedStep,
        cursor: Cursor,
        ask: StepPullRequest,
    ): Either<Problem, StepPullResponse> | undefined {
        const { ledger } = step;
        const now = this.ctx.clock.now();
        step.pulledAt = now;
        const version = ask.weightVersion ?? ledger.spec.weightVersion;
        this.forecast(ledger.spec.service).recordVersion(version, now);
        const outcome = ledger.pull(cursor, version, ask.maxSamples);
        step.dropObsolete();
        step.pump();
        if (outcome.kind === "superseded") {
            return Left(supersededProblem());
        }
        if (outcome.kind === "empty" && !outcome.done) {
            return this.emptyAnswer(step, cursor, ask, now);
        }
        if (outcome.kind === "empty") {
            this.complete(step);
        }
        return Right(answerOf(step.ledger, cursor, ask, outcome));
    }

    private emptyAnswer(
        step: OwnedStep,
        cursor: Cursor,
        ask: StepPullRequest,
        now: Instant,
    ): Either<Problem, StepPullResponse> | undefined {
        const { ledger } = step;
        if (now >= ledger.spec.deadline) {
            return Left(deadlineProblem(ledger));
        }
        return now >= ask.waitUntil
            ? Right(answerOf(step.ledger, cursor, ask, { kind: "empty", done: false }))
            : undefined;
    }

    private complete(step: OwnedStep): void {
        const { key, spec } = step.ledger;
        const forgetAt = after(spec.deadline, forgetAfterMs);
        this.ended.add(key, { how: "whole", status: step.status(false), forgetAt });
        step.end();
    }

    private onAnnounced(
        ask: PeerRequests["step-announce"]["ask"],
        from: HostId,
    ): Either<Problem, PeerRequests["step-announce"]["answer"]> {
        const step = this.steps.get(stepKey(ask));
        if (step === undefined || step.phase !== "serving") {
            return Right({ epoch: undefined });
        }
        this.handover.onAnnounced(step, ask, from);
        return Right({ epoch: step.ledger.epoch });
    }

    private onHandover(
        ask: PeerRequests["step-handover"]["ask"],
        from: HostId,
    ): Either<Problem, PeerRequests["step-handover"]["answer"]> {
        const key = stepKey(ask.spec);
        if (this.ended.get(key) !== undefined) {
            return Left(cancelledProblem());
        }
        const known = this.steps.get(key);
        const step: Either<Problem, OwnedStep> = known === undefined || known.phase === "ended"
            ? this.refusal(ask.spec).map(() => this.take(ask.spec))
            : Right(known);
        return step.chain(owned => this.takeOver(owned, ask, from));
    }

    private takeOver(
        step: OwnedStep,
        ask: PeerRequests["step-handover"]["ask"],
        from: HostId,
    ): Either<Problem, PeerRequests["step-handover"]["answer"]> {
        const isSame = step.ledger.identity.fingerprint === fingerprint(ask.spec);
        if (step.phase !== "serving" || !isSame) {
            return Left(problem("conflict", "The step is not served here."));
        }
        return Right({ awaited: this.handover.take(step, ask, from) });
    }

    private sweep(): void {
        const now = this.ctx.clock.now();
        this.ended.sweep(now);
        for (const [key, step] of this.steps) {
            if (now >= step.ledger.spec.deadline) {
                step.keepOnly(() => false);
            }
            if (step.phase === "ended" || now >= step.ledger.spec.deadline + forgetAfterMs) {
                this.drop(key);
                continue;
            }
            this.handover.releaseOverdue(step, now);
            step.checkProgress(now);
        }
    }

    private async announce(): Promise<void> {
        const serving = [...this.steps.values()].filter(step => step.phase === "serving");
        await Promise.all(serving.map(step => this.handover.announce(step)));
    }

    private drop(key: string): void {
        this.steps.get(key)?.end();
        this.steps.delete(key);
        this.handover.forget(key);
    }

    private forecast(service: ServiceId): FreshnessEstimator {
        const forecast = this.forecasts.get(service) ?? new FreshnessEstimator();
        this.forecasts.set(service, forecast);
        return forecast;
    }

    private ofService(service: ServiceId): readonly OwnedStep[] {
        return [...this.steps.values()].filter(step => step.ledger.spec.service === service);
    }
}
