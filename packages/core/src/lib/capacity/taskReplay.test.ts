/** Replays of the first minute of a deployment, in which reclaimable engines leave while no others are to be had. */

import { expect } from "chai";
import { type ZoneId } from "../ids.js";
import { seededRandom } from "../membership/seededRandom.js";
import { scalingFixture, zoneOf } from "./capacityFixtures.test.js";
import { TaskReplay, type TaskReplayOptions } from "./taskReplayFixtures.test.js";

const standingOnly = [8, 8, 8, 7].map(standing => ({ standing, reclaimable: 0 }));
const bothKinds = [4, 4, 4, 3].map(standing => ({ standing, reclaimable: 4 }));

/** Runs a replay and checks that all steps ended in time, and that no order took slots away that were in use. */
function check(options: TaskReplayOptions, untilMs: number): TaskReplay {
    const replay = new TaskReplay(options);
    replay.run(untilMs);
    expect(replay.lateness.filter(({ ms }) => ms > 0), "late steps").to.deep.equal([]);
    const ended = replay.lateness.map(({ submittedAt }) => submittedAt);
    expect(ended, "steps that ended").to.include.members(replay.submissions.filter(at => at < untilMs - 8000));
    expect(replay.reductions.filter(({ used, kept }) => used > kept), "reductions below the use").to.deep.equal([]);
    return replay;
}

describe("The first minute of ordered engines", () => {
    // Guards against steps that become late when a zone's new engines leave as soon as they serve.
    for (const [name, start] of [["standing engines", standingOnly], ["engines of both kinds", bothKinds]] as const) {
        it(`has no late step from ${name} on, when a zone's engines are reclaimed at 10 s and others refused for 9 s`, () => {
            for (const nth of [0, 1, 2, 3]) {
                const options: TaskReplayOptions = {
                    scaling: scalingFixture({ maxPerZone: 15 }),
                    seed: nth + 1,
                    start,
                    reclaims: [{ at: 10_000, zone: zoneOf(nth) }],
                    isRefusing: at => at >= 10_000 && at < 19_000,
                };
                const { cost, mostInZone, orders } = check(options, 75_000);
                const costOfStart = start.reduce(
                    (sum, { standing, reclaimable }, zone) =>
                        sum + 75 * [1, 0.8, 1.25, 0.9][zone]! * (standing + 0.18 * reclaimable),
                    0,
                );
                // Standing engines carry the demand alone, so only those beyond it are replaced by cheaper ones.
                expect(cost, "price").to.be.below(costOfStart * 1.1);
                expect(mostInZone).to.be.at.most(15);
                const last = orders.filter(({ at, end }) => at >= 65_000 && end === "accepted");
                const groups = last.map(({ zone, kind }) => `${zone} ${kind}`);
                expect(new Set(groups).size, "changes of one number under a steady load").to.equal(groups.length);
            }
        });
    }

    const random = seededRandom(1);
    const troubles: readonly { readonly name: string; readonly options: Partial<TaskReplayOptions>; }[] = [
        {
            name: "engines that start up to 5 s late",
            options: { startupDelayMs: () => Math.floor(random() * 6) * 1000 },
        },
        { name: "a list that is 2.9 s old", options: { listIntervalMs: at => at % 20_000 > 12_000 ? 2900 : 900 } },
        {
            name: "calls without an answer",
            options: { lostCall: () => random() < 0.3 ? { isReceived: random() < 0.5 } : undefined },
        },
        // Guards against a zone that gets the engines of a group again under the other kind, since some of them restart.
        { name: "engines that restart", options: { isUnlisted: (id, at) => (at + id * 1700) % 12_000 < 1800 } },
        { name: "a conductor that changes", options: { changes: [8000, 27_000] } },
    ];
    const all = { name: "all of these", options: Object.assign({}, ...troubles.map(({ options }) => options)) };
    for (const { name, options } of [...troubles, all]) {
        it(`keeps the limits of zones and has no late step with ${name}`, () => {
            for (const [seed, maxPerZone] of [[1, 15], [2, 15], [3, 9], [4, 9]] as const) {
                const draw = seededRandom(seed);
                const reclaims = [10_000, 22_000, 34_000, 46_000].map((at): { at: number; zone: ZoneId; } => ({
                    at,
                    zone: zoneOf(Math.floor(draw() * 4)),
                }));
                const { mostInZone } = check(
                    {
                        scaling: scalingFixture({ maxPerZone }),
                        seed,
                        start: standingOnly,
                        reclaims,
                        isRefusing: at => reclaims.some(reclaim => at >= reclaim.at && at < reclaim.at + 6000),
                        ...options,
                    },
                    60_000,
                );
                expect(mostInZone, `seed ${seed}`).to.be.at.most(maxPerZone);
            }
        });
    }
});
