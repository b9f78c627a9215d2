/** Fixtures of the routing tests: views, work, and seeded random numbers. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type Incarnation, type Instant, type PoolId, type WeightVersion } from "../ids.js";
import { asId } from "../ids.js";
import { type TargetView } from "./TargetView.js";
import { type Work } from "./Work.js";

export const testPool = asId<PoolId>("pool");

/** Seeded pseudorandom numbers from 0 up to 1. */
export function testRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}

/** A reachable engine with 4 slots at version 1. */
export function makeView(name: string, changes: Partial<TargetView> = {}): TargetView {
    return {
        target: asId(name),
        kind: "engine",
        pool: testPool,
        zone: asId("zone"),
        url: "",
        incarnation: 1 as Incarnation,
        leaving: false,
        reachable: true,
        inFlight: 0,
        inFlightElsewhere: 0,
        slots: 4,
        version: 1 as WeightVersion,
        versionWhole: true,
        paceMs: undefined,
        seenAt: 0 as Instant,
        ...changes,
    };
}

/** Work of the class "answer" with a distant deadline. */
export function makeWork(id: string, changes: Partial<Work> = {}): Work {
    return {
        id: asId(id),
        pool: testPool,
        caller: asId("caller"),
        workClass: "answer",
        policy: "tamarack",
        arrivedAt: 0 as Instant,
        deadline: 1_000_000 as Instant,
        lateCost: 1,
        expectedTokens: undefined,
        prefix: undefined,
        lowestVersion: undefined,
        excluded: [],
        ...changes,
    };
}
