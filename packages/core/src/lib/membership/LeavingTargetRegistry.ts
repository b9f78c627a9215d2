/**
 * The incarnations of targets that are leaving. Once any source has reported that an incarnation is leaving, no source
 * can revoke it; only a higher incarnation of the target returns to service.
 */

import { type Incarnation, type TargetId } from "../ids.js";
import { type Fact, type FactMap } from "./FactMap.js";

const prefix = "leaving/";

/** An incarnation of a target that is leaving. */
export interface LeavingTarget {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
}

/** Returns the fact that is gossiped for a leaving target. */
export function toLeavingFact({ target, incarnation }: LeavingTarget): Fact {
    return { key: `${prefix}${target}`, value: incarnation };
}

/** Reads a gossiped fact; undefined when it is not about a leaving target. */
export function fromLeavingFact({ key, value }: Fact): LeavingTarget | undefined {
    return key.startsWith(prefix)
        ? { target: key.slice(prefix.length) as TargetId, incarnation: value as Incarnation }
        : undefined;
}

/** The leaving targets, as recorded in a host's facts. */
export class LeavingTargetRegistry {
    constructor(private readonly facts: FactMap) {}

    /** Returns whether this incarnation, or a later one, was reported as leaving. */
    isLeaving(target: TargetId, incarnation: Incarnation): boolean {
        return (this.facts.get(`${prefix}${target}`) ?? -1) >= incarnation;
    }

    /** Records a leaving target, and returns whether that changed the facts. */
    raise(leaving: LeavingTarget): boolean {
        return this.facts.raise(toLeavingFact(leaving));
    }
}
