/**
 * The requests of one host incarnation that must not be repeated, and what became of each. It alone lets a request be
 * dispatched, and it does so once. Memory is bounded for each caller: outcomes are dropped before the requests are.
 */

import { type Instant } from "../ids.js";
import { isUnsettled, nextPhase, type RunEvent, type RunPhase } from "./RunPhase.js";

/** What a presented request entitles to. */
export type RunDecision<Outcome> =
    | { readonly kind: "run"; }
    | { readonly kind: "wait"; }
    | { readonly kind: "replay"; readonly outcome: Outcome; }
    | { readonly kind: "outcome-dropped"; }
    | { readonly kind: "other-request"; }
    | { readonly kind: "abandoned"; }
    | { readonly kind: "unknown"; };

/** How much the book keeps for one caller. */
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

interface CallerUse {
    entries: number;
    outcomeBytes: number;
}

/** Requests of one host incarnation, by their run id. */
export class RunRegistry<Outcome> {
    private readonly entries = new Map<string, RunEntry<Outcome>>();
    private readonly uses = new Map<string, CallerUse>();

    constructor(private readonly limits: RunRegistryLimits) {}

    /** Admits a request; false when the caller has too many. The fingerprint may follow when it is presented. */
    admit(id: string, caller: string, fingerprint: string | undefined, forgetAt: Instant): boolean {
        const use = this.uses.get(caller) ?? { entries: 0, outcomeBytes: 0 };
        if (use.entries >= this.limits.entriesPerCaller || this.entries.has(id)) {
            return false;
        }
        use.entries++;
        this.uses.set(caller, use);
        const entry = { caller, forgetAt, fingerprint, phase: "admitted" as const, outcome: undefined };
        this.entries.set(id, { ...entry, outcomeBytes: 0 });
        return true;
    }

    /** Decides on a presented request, and records the intent to dispatch when the answer is "run". */
    tryDispatch(id: string, caller: string, fingerprint: string): RunDecision<Outcome> {
        const verdict = this.evaluate(id, caller, fingerprint);
        const entry = this.entries.get(id);
        if (verdict.kind === "run" && entry !== undefined) {
            entry.fingerprint = fingerprint;
            entry.phase = "dispatching";
        }
        return verdict;
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
        return verdictOf(entry);
    }

    phase(id: string): RunPhase | undefined {
        return this.entries.get(id)?.phase;
    }

    /** Applies `event`; false when the request is unknown or the event is not allowed. */
    apply(id: string, event: RunEvent): boolean {
        const entry = this.entries.get(id);
        const phase = entry === undefined ? undefined : nextPhase(entry.phase, event);
        if (entry === undefined || phase === undefined) {
            return false;
        }
        entry.phase = phase;
        return true;
    }

    /** Keeps the outcome for replays; older outcomes of the caller make room for it. */
    answer(id: string, outcome: Outcome, bytes: number): void {
        const entry = this.entries.get(id);
        if (entry === undefined || !this.apply(id, "answer")) {
            return;
        }
        entry.outcome = outcome;
        entry.outcomeBytes = bytes;
        const use = this.uses.get(entry.caller)!;
        use.outcomeBytes += bytes;
        this.makeRoom(entry.caller, use);
    }

    /** Drops the entries whose time has come, but none that may still run at a target. */
    evictExpired(now: Instant): readonly string[] {
        const due = [...this.entries].filter(([, entry]) => entry.forgetAt <= now && !isUnsettled(entry.phase));
        due.forEach(([id, entry]) => {
            this.entries.delete(id);
            this.release(entry);
        });
        return due.map(([id]) => id);
    }

    get size(): number {
        return this.entries.size;
    }

    /** Requests that may still run at a target. */
    get unsettled(): number {
        return [...this.entries.values()].filter(entry => isUnsettled(entry.phase)).length;
    }

    private makeRoom(caller: string, use: CallerUse): void {
        for (const entry of this.entries.values()) {
            if (use.outcomeBytes <= this.limits.outcomeBytesPerCaller) {
                return;
            }
            if (entry.caller === caller && entry.outcome !== undefined) {
                use.outcomeBytes -= entry.outcomeBytes;
                entry.outcome = undefined;
                entry.outcomeBytes = 0;
            }
        }
    }

    private release(entry: RunEntry<Outcome>): void {
        const use = this.uses.get(entry.caller)!;
        use.entries--;
        use.outcomeBytes -= entry.outcomeBytes;
        if (use.entries === 0) {
            this.uses.delete(entry.caller);
        }
    }
}

function verdictOf<Outcome>(entry: RunEntry<Outcome>): RunDecision<Outcome> {
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
