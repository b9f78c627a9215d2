/**
 * Moves steps between hosts without generating a sample twice. A stopping host hands each step over to the next host of
 * the step's ranking. When two hosts own the same step, the one with the older epoch hands it over to the other. Ready
 * samples are sent along, and the successor waits for the attempts that still run on this host.
 */

import {
    after,
    type AttemptId,
    decodeCursor,
    encodeCursor,
    type HostId,
    type Instant,
    isReplacedBy,
    type RunningAttempt,
    type Sample,
    sleepUntil,
    type StepAnnouncement,
    type StepHandover as HandoverRequest,
    stepKey,
} from "@tamarackpath/core";
import { type Context } from "../Context.js";
import { type MembershipTask } from "./MembershipTask.js";
import { type OwnedStep } from "./OwnedStep.js";

const requestTimeoutMs = 2000;
/** How long the successor waits for the former owner's running attempts after the owner's last message. */
const holdTimeoutMs = 6000;
const refreshIntervalMs = 2000;
const maxAnnouncedHosts = 3;
const handoverRetryDelayMs = 500;
const maxPartChars = 4 * 1024 * 1024;

/** An attempt that still runs on a former owner and whose sample this host waits for. */
interface HeldAttempt extends RunningAttempt {
    readonly from: HostId;
    until: Instant;
}

/** Hands steps over to other hosts and accepts steps from them. */
export class StepHandover {
    /** True once this host stops. A step whose handover fails then finishes its attempts but starts no new ones. */
    isStopping = false;
    /** The attempts that this host waits for, by step. */
    private readonly held = new Map<string, Map<AttemptId, HeldAttempt>>();

    constructor(private readonly ctx: Context, private readonly members: MembershipTask) {}

    /** Announces the step to the hosts that rank next for it. A host that owns the step too answers with its epoch. */
    async announce(step: OwnedStep): Promise<void> {
        const { service, caller, step: id } = step.state.spec;
        const ranked = this.members.ranked(step.state.key).filter(host => host !== this.ctx.host);
        await Promise.all(
            ranked.slice(0, maxAnnouncedHosts).map(async host => {
                const announcement = { service, caller, step: id, epoch: step.state.epoch };
                const res = await this.ctx.ports.peers.ask(
                    host,
                    "step-announce",
                    announcement,
                    this.fromNow(requestTimeoutMs),
                );
                res.ifRight(inner =>
                    inner.ifRight(({ epoch }) => {
                        if (epoch !== undefined && step.phase === "serving" && isReplacedBy(step.state.epoch, epoch)) {
                            void this.handOverTo(step, host, this.fromNow(holdTimeoutMs));
                        }
                    })
                );
            }),
        );
    }

    /** Hands the step over to the announcing host when the local epoch is older than the announced one. */
    onAnnouncement(step: OwnedStep, announcement: StepAnnouncement, from: HostId): void {
        if (step.phase === "serving" && isReplacedBy(step.state.epoch, announcement.epoch)) {
            void this.handOverTo(step, from, this.fromNow(holdTimeoutMs));
        }
    }

    /**
     * Hands the step over to the next host of its ranking. While there is no other live host, running attempts finish.
     * After that the step counts as moved, so that the trainer submits it again to a host that starts later.
     */
    async handOverToNext(step: OwnedStep, deadline: Instant): Promise<void> {
        step.stopStartingAttempts();
        while (step.phase === "finishing" && this.ctx.clock.now() < deadline) {
            const others = this.members.ranked(step.state.key).filter(host => host !== this.ctx.host);
            if (others.length > 0) {
                await this.handOverToFirst(step, others, deadline);
                continue;
            }
            if (step.attemptsRunning === 0 && step.state.counts().ready === 0) {
                break;
            }
            await sleepUntil(this.ctx.clock, this.fromNow(handoverRetryDelayMs));
        }
        if (step.phase === "finishing") {
            step.phase = "moved";
            step.notifyWaiters();
        }
    }

    /** Accepts a handover from a former owner; returns the attempts whose samples this host waits for. */
    accept(step: OwnedStep, handover: HandoverRequest, from: HostId): readonly AttemptId[] {
        const { state } = step;
        const held = this.heldAttemptsOf(step);
        state.tightenBound(handover.spec.stalenessBound);
        state.recordVersion(handover.version);
        decodeCursor(handover.cursor, state.identity).ifRight(cursor => state.mergeAcknowledged(cursor));
        handover.samples.forEach(sample => {
            state.acceptHandedOver(sample);
            held.delete(sample.attempt as AttemptId);
        });
        const until = Math.min(handover.holdUntil, this.fromNow(holdTimeoutMs)) as Instant;
        handover.running.forEach(({ index, attempt }) => {
            if (held.has(attempt) || state.awaitAttempt({ index, attempt })) {
                held.set(attempt, { index, attempt, from, until });
            }
        });
        const running = new Set(handover.running.map(({ attempt }) => attempt));
        this.release(step, entry => entry.from === from && !running.has(entry.attempt));
        step.notifyWaiters();
        step.startAttempts();
        return [...held.keys()];
    }

    /** Stops waiting for attempts of former owners that sent no update in time. */
    releaseExpired(step: OwnedStep, now: Instant): void {
        this.release(step, entry => entry.until <= now);
    }

    forget(key: string): void {
        this.held.delete(key);
    }

    private async handOverToFirst(step: OwnedStep, hosts: readonly HostId[], deadline: Instant): Promise<void> {
        for (const host of hosts) {
            await this.handOverTo(step, host, deadline);
            if (step.phase !== "finishing") {
                return;
            }
        }
        await sleepUntil(this.ctx.clock, this.fromNow(handoverRetryDelayMs));
    }

    private async handOverTo(step: OwnedStep, to: HostId, deadline: Instant): Promise<void> {
        step.stopStartingAttempts();
        const log = this.ctx.log("steps");
        const sent = new Set<number>();
        const awaited = await this.send(step, to, sent);
        if (awaited === undefined) {
            log.warn("Cannot hand over a step.", { step: step.state.key, to });
            this.resume(step);
            return;
        }
        step.phase = "moved";
        step.notifyWaiters();
        log.info("A step was handed over.", { step: step.state.key, to, awaited: awaited.length });
        step.cancelExcept(attempt => awaited.includes(attempt));
        await this.sendRemaining(step, to, sent, deadline);
        step.end();
    }

    /** Sends the samples of running attempts, and repeats the message so that the successor continues to wait. */
    private async sendRemaining(step: OwnedStep, to: HostId, sent: Set<number>, deadline: Instant): Promise<void> {
        while (step.attemptsRunning > 0 && this.ctx.clock.now() < deadline) {
            await step.waitForChange(Math.min(deadline, this.fromNow(refreshIntervalMs)) as Instant);
            await this.send(step, to, sent);
        }
        await this.send(step, to, sent);
    }

    private resume(step: OwnedStep): void {
        if (!this.isStopping) {
            step.phase = "serving";
            step.startAttempts();
        }
    }

    /** Sends the unsent samples; returns the attempts that the successor waits for, or undefined on failure. */
    private async send(step: OwnedStep, to: HostId, sent: Set<number>): Promise<readonly AttemptId[] | undefined> {
        const { effectiveSpec: spec, identity, version } = step.state;
        const cursor = encodeCursor(step.state.acknowledgedCursor(), identity);
        const running = step.state.runningAttempts();
        const unsent = step.state.readySamples().filter(sample => !sent.has(sample.index));
        let awaited: readonly AttemptId[] | undefined;
        const rest = new Map(unsent.map(sample => [sample.index, sample.attempt as AttemptId]));
        for (const samples of splitIntoParts(unsent)) {
            samples.forEach(sample => rest.delete(sample.index));
            const sentLater = [...rest].map(([index, attempt]) => ({ index, attempt }));
            const res = await this.ctx.ports.peers.ask(to, "step-handover", {
                spec,
                cursor,
                version,
                samples,
                running: [...running, ...sentLater],
                holdUntil: this.fromNow(holdTimeoutMs),
            }, this.fromNow(requestTimeoutMs));
            awaited = res.toMaybe().chain(inner => inner.toMaybe()).map(answer => answer.awaited).extract();
            if (awaited === undefined) {
                return undefined;
            }
            samples.forEach(sample => sent.add(sample.index));
        }
        return awaited;
    }

    private heldAttemptsOf(step: OwnedStep): Map<AttemptId, HeldAttempt> {
        const key = stepKey(step.state.spec);
        const held = this.held.get(key) ?? new Map<AttemptId, HeldAttempt>();
        this.held.set(key, held);
        return held;
    }

    private release(step: OwnedStep, shouldRelease: (entry: HeldAttempt) => boolean): void {
        const held = this.held.get(step.state.key);
        for (const entry of held?.values() ?? []) {
            if (shouldRelease(entry)) {
                held?.delete(entry.attempt);
                step.state.fail(entry.attempt, entry.index);
            }
        }
        step.startAttempts();
    }

    private fromNow(ms: number): Instant {
        return after(this.ctx.clock.now(), ms);
    }
}

/** Splits samples into parts that fit into one message each; there is at least one part. */
function splitIntoParts(samples: readonly Sample[]): readonly (readonly Sample[])[] {
    const parts: Sample[][] = [[]];
    let length = 0;
    for (const sample of samples) {
        length += sample.text.length;
        if (length > maxPartChars && parts.at(-1)!.length > 0) {
            parts.push([]);
            length = sample.text.length;
        }
        parts.at(-1)!.push(sample);
    }
    return parts;
}
