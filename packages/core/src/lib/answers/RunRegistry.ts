/**
 * The requests of one host incarnation that must not be repeated, with the phase and the outcome of each. A request may
 * be dispatched only when this registry allows it, which it does once. Memory is bounded per caller: outcomes are
 * dropped before the requests are.
 */

import { type Instant } from "../ids.js";
import { isUnsettled, nextPhase, type RunEvent, type RunPhase } from "./RunPhase.js";

/**
 * What to do with a request that a caller presents. "wait": an attempt is in progress; "replay": respond with the
 * stored outcome; "other-request": the id belongs to a request with another caller or content.
 */
export type RunDecision<Outcome> =
    | { readonly kind: "run"; }
    | { readonly kind: "wait"; }
    | { readonly kind: "replay"; readonly outcome: Outcome; }
    | { readonly kind: "outcome-dropped"; }
    | { readonly kind: "other-request"; }
    | { readonly kind: "abandoned"; }
    | { readonly kind: "unknown"; };

/** Limits of what the registry keeps for one caller. */
export interface RunRegistryLimits {
    readonly entriesPerCaller: number;
    readonly outcomeBytesPerCaller: number;
}

interface RunEntry<Outcome> {
    readonly caller: string;
    readonly forgetAt: Instant;
    fingerprint: string | undefined;
    phase: RunPhase;
    outcome: Outcome | undefined;
    outcomeBytes: number;
}

interface CallerUsage {
    entries: number;
    outcomeBytes: number;
}

/** Requests of one host incarnation, by their run id. */
export class RunRegistry<Outcome> {
    private readonly entries = new Map<string, RunEntry<Outcome>>();
    private readonly usageByCaller = new Map<string, CallerUsage>();

    constructor(private readonly limits: RunRegistryLimits) {}

    /**
     * Adds a request; false if the caller has too many or the id exists. `fingerprint` is a hash of the request; if it
     * is undefined, as for a ticket, the first call of `tryDispatch` sets it.
     */
    admit(id: string, caller: string, fingerprint: string | undefined, forgetAt: Instant): boolean {
        const usage = this.usageByCaller.get(caller) ?? { entries: 0, outcomeBytes: 0 };
        if (usage.entries >= this.limits.entriesPerCaller || this.entries.has(id)) {
            return false;
        }
        usage.entries++;
        this.usageByCaller.set(caller, usage);
        const entry = { caller, forgetAt, fingerprint, phase: "admitted" as const, outcome: undefined };
        this.entries.set(id, { ...entry, outcomeBytes: 0 });
        return true;
    }

    /** Decides on a presented request, and records the intent to dispatch when the decision is "run". */
    tryDispatch(id: string, caller: string, fingerprint: string): RunDecision<Outcome> {
        const decision = this.evaluate(id, caller, fingerprint);
        const entry = this.entries.get(id);
        if (decision.kind === "run" && entry !== undefined) {
            entry.fingerprint = fingerprint;
            entry.phase = "dispatching";
        }
        return decision;
    }

    /** Decides on a presented request without recording anything. */
    evaluate(id: string, caller: string, fingerprint: string): RunDecision<Outcome> {
        const entry = this.entries.get(id);
        if (entry === undefined) {
            return { kind: "unknown" };
        }
        if (entry.caller !== caller || (entry.fingerprint !== undefined && entry.fingerprint !== fingerprint)) {
            return { kind: "other-request" };
        }
        return decisionFor(entry);
    }

    phase(id: string): RunPhase | undefined {
        return this.entries.get(id)?.phase;
    }

    /** Applies `event`; false when the request is unknown or its phase does not allow the event. */
    apply(id: string, event: RunEvent): boolean {
        const entry = this.entries.get(id);
        const phase = entry === undefined ? undefined : nextPhase(entry.phase, event);
        if (entry === undefined || phase === undefined) {
            return false;
        }
        entry.phase = phase;
        return true;
    }

    /** Stores an outcome of `bytes` bytes for replays; older outcomes of the caller are dropped to make room for it. */
    answer(id: string, outcome: Outcome, bytes: number): void {
        const entry = this.entries.get(id);
        if (entry === undefined || !this.apply(id, "answer")) {
            return;
        }
        entry.outcome = outcome;
        entry.outcomeBytes = bytes;
        const usage = this.usageByCaller.get(entry.caller)!;
        usage.outcomeBytes += bytes;
        this.dropOldOutcomes(entry.caller, usage);
    }

    /** Removes the expired entries, except those that may still run at a target, and returns their ids. */
    evictExpired(now: Instant): readonly string[] {
        const due = [...this.entries].filter(([, entry]) => entry.forgetAt <= now && !isUnsettled(entry.phase));
        due.forEach(([id, entry]) => {
            this.entries.delete(id);
            this.releaseUsage(entry);
        });
        return due.map(([id]) => id);
    }

    get size(): number {
        return this.entries.size;
    }

    /** Number of requests that may still run at a target. */
    get unsettled(): number {
        return [...this.entries.values()].filter(entry => isUnsettled(entry.phase)).length;
    }

    private dropOldOutcomes(caller: string, usage: CallerUsage): void {
        for (const entry of this.entries.values()) {
            if (usage.outcomeBytes <= this.limits.outcomeBytesPerCaller) {
                return;
            }
            if (entry.caller === caller && entry.outcome !== undefined) {
                usage.outcomeBytes -= entry.outcomeBytes;
                entry.outcome = undefined;
                entry.outcomeBytes = 0;
            }
        }
    }

    private releaseUsage(entry: RunEntry<Outcome>): void {
        const usage = this.usageByCaller.get(entry.caller)!;
        usage.entries--;
        usage.outcomeBytes -= entry.outcomeBytes;
        if (usage.entries === 0) {
            this.usageByCaller.delete(entry.caller);
        }
    }
}

function decisionFor<Outcome>(entry: RunEntry<Outcome>): RunDecision<Outcome> {
    switch (entry.phase) {
        case "admitted":
            return { kind: "run" };
        case "dispatching":
        case "running":
            return { kind: "wait" };
        case "answered":
            return entry.outcome === undefined
                ? { kind: "outcome-dropped" }
                : { kind: "replay", outcome: entry.outcome };
        case "unknown":
        case "abandoned":
            return { kind: entry.phase };
    }
}
