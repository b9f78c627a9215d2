/**
 * Which incarnations of targets leave. The fact only grows: once any source said that an incarnation leaves, no
 * later source takes it back; only a higher incarnation of the target returns to service.
 */

import { type Incarnation, type TargetId } from "../ids.js";
import { type Fact, type FactMap } from "./FactMap.js";

const prefix = "leaving/";

/** A target's incarnation that leaves. */
export interface LeavingTarget {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
}

/** The fact that is gossiped for a leaving target. */
export function toLeavingFact({ target, incarnation }: LeavingTarget): Fact {
    return { key: `${prefix}${target}`, value: incarnation };
}

/** Reads a gossiped fact; returns undefined when it is about something else. */
export function fromLeavingFact({ key, value }: Fact): LeavingTarget | undefined {
    return key.startsWith(prefix)
        ? { target: key.slice(prefix.length) as TargetId, incarnation: value as Incarnation }
        : undefined;
}

/** Reads the leaving targets among the facts that a host knows. */
export class LeavingTargetRegistry {
    constructor(private readonly facts: FactMap) {}

    /** Tells whether this incarnation, or a later one, was said to leave. */
    isLeaving(target: TargetId, incarnation: Incarnation): boolean {
        return (this.facts.get(`${prefix}${target}`) ?? -1) >= incarnation;
    }

    /** Takes a fact and tells whether it is news. */
    raise(leaving: LeavingTarget): boolean {
        return this.facts.raise(toLeavingFact(leaving));
    }
}
