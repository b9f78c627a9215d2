/**
 * Moves steps between hosts without generating anything twice. A host that stops hands each step to the next host of
 * its ranking; of two hosts that own the same step, the one at the older epoch hands it to the other. Ready samples
 * go along, and the successor waits for the attempts that still run here.
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
    type StepHandover as HandoverAsk,
    stepKey,
} from "@tamarackpath/core";
import { type Context } from "../Context.js";
import { type MembershipTask } from "./MembershipTask.js";
import { type OwnedStep } from "./OwnedStep.js";

const askMs = 2000;
const holdMs = 6000;
const refreshMs = 2000;
const announcedHosts = 3;
const giveAgainMs = 500;
const partLength = 4 * 1024 * 1024;

interface HeldAttempt extends RunningAttempt {
    readonly from: HostId;
    until: Instant;
}

/** Hands steps over and takes them. */
export class StepHandover {
    /** True once this host stops: a step that cannot be handed over is then finished but not taken up again. */
    isStopping = false;
    private readonly held = new Map<string, Map<AttemptId, HeldAttempt>>();

    constructor(private readonly ctx: Context, private readonly members: MembershipTask) {}

    /** Tells the hosts that would own the step next that it is owned here; they answer if they own it too. */
    async announce(step: OwnedStep): Promise<void> {
        const { service, caller, step: id } = step.ledger.spec;
        const ranked = this.members.ranked(step.ledger.key).filter(host => host !== this.ctx.host);
        await Promise.all(
            ranked.slice(0, announcedHosts).map(async host => {
                const ask = { service, caller, step: id, epoch: step.ledger.epoch };
                const res = await this.ctx.ports.peers.ask(host, "step-announce", ask, this.in(askMs));
                res.ifRight(inner =>
                    inner.ifRight(({ epoch }) => {
                        if (epoch !== undefined && step.phase === "serving" && isReplacedBy(step.ledger.epoch, epoch)) {
                            void this.giveTo(step, host, this.in(holdMs));
                        }
                    })
                );
            }),
        );
    }

    /** Compares an announced epoch with the one here, and gives the step up when the other's is higher. */
    onAnnounced(step: OwnedStep, ask: StepAnnouncement, from: HostId): void {
        if (step.phase === "serving" && isReplacedBy(step.ledger.epoch, ask.epoch)) {
            void this.giveTo(step, from, this.in(holdMs));
        }
    }

    /**
     * Hands the step to the next host of its ranking. While no other host is known it finishes what runs; then it
     * answers that the step is elsewhere, so that the trainer submits it to a host that starts later.
     */
    async giveToNext(step: OwnedStep, deadline: Instant): Promise<void> {
        step.finishOnly();
        while (step.phase === "finishing" && this.ctx.clock.now() < deadline) {
            const others = this.members.ranked(step.ledger.key).filter(host => host !== this.ctx.host);
            if (others.length > 0) {
                await this.giveToFirst(step, others, deadline);
                continue;
            }
            if (step.attemptsRunning === 0 && step.ledger.counts().ready === 0) {
                break;
            }
            await sleepUntil(this.ctx.clock, this.in(giveAgainMs));
        }
        if (step.phase === "finishing") {
            step.phase = "moved";
            step.wake();
        }
    }

    /** Takes what a former owner hands over; returns the attempts that are waited for here. */
    take(step: OwnedStep, ask: HandoverAsk, from: HostId): readonly AttemptId[] {
        const { ledger } = step;
        const held = this.heldOf(step);
        ledger.tightenBound(ask.spec.stalenessBound);
        ledger.recordVersion(ask.version);
        decodeCursor(ask.cursor, ledger.identity).ifRight(cursor => ledger.mergeAcknowledged(cursor));
        ask.samples.forEach(sample => {
            ledger.acceptHandedOver(sample);
            held.delete(sample.attempt as AttemptId);
        });
        const until = Math.min(ask.holdUntil, this.in(holdMs)) as Instant;
        ask.running.forEach(({ index, attempt }) => {
            if (held.has(attempt) || ledger.awaitAttempt({ index, attempt })) {
                held.set(attempt, { index, attempt, from, until });
            }
        });
        const running = new Set(ask.running.map(({ attempt }) => attempt));
        this.release(step, entry => entry.from === from && !running.has(entry.attempt));
        step.wake();
        step.pump();
        return [...held.keys()];
    }

    /** Stops waiting for attempts of former owners that were not heard of in time. */
    releaseOverdue(step: OwnedStep, now: Instant): void {
        this.release(step, entry => entry.until <= now);
    }

    forget(key: string): void {
        this.held.delete(key);
    }

    private async giveToFirst(step: OwnedStep, hosts: readonly HostId[], deadline: Instant): Promise<void> {
        for (const host of hosts) {
            await this.giveTo(step, host, deadline);
            if (step.phase !== "finishing") {
                return;
            }
        }
        await sleepUntil(this.ctx.clock, this.in(giveAgainMs));
    }

    private async giveTo(step: OwnedStep, to: HostId, deadline: Instant): Promise<void> {
        step.finishOnly();
        const log = this.ctx.log("steps");
        const sent = new Set<number>();
        const awaited = await this.send(step, to, sent);
        if (awaited === undefined) {
            log.warn("A step could not be handed over.", { step: step.ledger.key, to });
            this.resume(step);
            return;
        }
        step.phase = "moved";
        step.wake();
        log.info("A step was handed over.", { step: step.ledger.key, to, awaited: awaited.length });
        step.keepOnly(attempt => awaited.includes(attempt));
        await this.sendRest(step, to, sent, deadline);
        step.end();
    }

    /** Sends the samples of the attempts that still run, and repeats the message so that the successor goes on waiting. */
    private async sendRest(step: OwnedStep, to: HostId, sent: Set<number>, deadline: Instant): Promise<void> {
        while (step.attemptsRunning > 0 && this.ctx.clock.now() < deadline) {
            await step.nextChange(Math.min(deadline, this.in(refreshMs)) as Instant);
            await this.send(step, to, sent);
        }
        await this.send(step, to, sent);
    }

    private resume(step: OwnedStep): void {
        if (!this.isStopping) {
            step.phase = "serving";
            step.pump();
        }
    }

    /** Sends what was not sent yet; returns the attempts that the successor waits for, or undefined on failure. */
    private async send(step: OwnedStep, to: HostId, sent: Set<number>): Promise<readonly AttemptId[] | undefined> {
        const { effectiveSpec: spec, identity, version } = step.ledger;
        const cursor = encodeCursor(step.ledger.acknowledgedCursor(), identity);
        const running = step.ledger.runningAttempts();
        const fresh = step.ledger.readySamples().filter(sample => !sent.has(sample.index));
        let awaited: readonly AttemptId[] | undefined;
        const rest = new Map(fresh.map(sample => [sample.index, sample.attempt as AttemptId]));
        for (const samples of inParts(fresh)) {
            samples.forEach(sample => rest.delete(sample.index));
            const later = [...rest].map(([index, attempt]) => ({ index, attempt }));
            const res = await this.ctx.ports.peers.ask(to, "step-handover", {
                spec,
                cursor,
                version,
                samples,
                running: [...running, ...later],
                holdUntil: this.in(holdMs),
            }, this.in(askMs));
            awaited = res.toMaybe().chain(inner => inner.toMaybe()).map(answer => answer.awaited).extract();
            if (awaited === undefined) {
                return undefined;
            }
            samples.forEach(sample => sent.add(sample.index));
        }
        return awaited;
    }

    private heldOf(step: OwnedStep): Map<AttemptId, HeldAttempt> {
        const key = stepKey(step.ledger.spec);
        const held = this.held.get(key) ?? new Map<AttemptId, HeldAttempt>();
        this.held.set(key, held);
        return held;
    }

    private release(step: OwnedStep, isUnwanted: (entry: HeldAttempt) => boolean): void {
        const held = this.held.get(step.ledger.key);
        for (const entry of held?.values() ?? []) {
            if (isUnwanted(entry)) {
                held?.delete(entry.attempt);
                step.ledger.fail(entry.attempt, entry.index);
            }
        }
        step.pump();
    }

    private in(ms: number): Instant {
        return after(this.ctx.clock.now(), ms);
    }
}

/** Splits samples into parts that fit a message; there is at least one part. */
function inParts(samples: readonly Sample[]): readonly (readonly Sample[])[] {
    const parts: Sample[][] = [[]];
    let length = 0;
    for (const sample of samples) {
        length += sample.text.length;
        if (length > partLength && parts.at(-1)!.length > 0) {
            parts.push([]);
            length = sample.text.length;
        }
        parts.at(-1)!.push(sample);
    }
    return parts;
}
