/** Tests how soon a host detects that the conductor's claim has lapsed. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import { after, asId, type HostId, type PeerNetwork, type PlatformDocuments } from "@tamarackpath/core";
import { expect } from "chai";
import { Left, Right } from "purify-ts";
import { type ConductorTask } from "./ConductorTask.js";
import { HostView } from "./HostView.js";
import { engineEntryFixture } from "./jobRunnerFixtures.test.js";
import { noopJournal } from "./Journal.js";
import { crashGuardFixture, permitsFixture, viewOptionsFixture } from "./permitsFixtures.test.js";
import { ViewTask } from "./ViewTask.js";

const clock = createMonotonicClock();

/** A host that follows `conductor`, whose answers to requests come from `ask`. */
function followerFixture(ask: PeerNetwork["ask"], hasCallers: boolean): {
    readonly task: ViewTask;
    readonly view: HostView;
    /** Number of lookups of the claim. */
    readonly lookups: () => number;
} {
    let lookups = 0;
    const conductor = {
        conductor: asId<HostId>("silent"),
        isConductor: false,
        isSure: false,
        adoptReportedConductor: () => undefined,
        lookUpClaim: async () => {
            lookups++;
            return true;
        },
    } as unknown as ConductorTask;
    const peers = { handle: () => undefined, setAddress: () => undefined, ask } as unknown as PeerNetwork;
    const documents = {
        readOperator: async () => Left({ applied: "no", detail: "none" }),
        readTargets: async () => Left({ applied: "no", detail: "none" }),
    } as unknown as PlatformDocuments;
    const seeds = [asId<HostId>("silent"), asId<HostId>("other")];
    const options = viewOptionsFixture({ seeds, hasCallers });
    const view = new HostView(clock, noopJournal);
    const task = new ViewTask(
        options,
        view,
        conductor,
        permitsFixture(peers),
        crashGuardFixture(peers),
        documents,
        peers,
        clock,
        noopJournal,
    );
    return { task, view, lookups: () => lookups };
}

/** Counts the lookups of the claim within `ms` at a host whose conductor does not answer. */
async function lookupsWithin(ms: number, hasCallers: boolean): Promise<number> {
    const ask = async (unused: HostId, name: string, body: unknown, deadline: number): Promise<unknown> => {
        await passMs(Math.max(0, deadline - clock.now()));
        return Left({ reason: "no-answer", detail: `No answer to ${name}.`, body });
    };
    const { task, lookups } = followerFixture(ask as PeerNetwork["ask"], hasCallers);
    const until = after(clock.now(), ms);
    task.start();
    while (clock.now() < until) {
        await passMs(20);
    }
    task.stop();
    return lookups();
}

/** What the conductor answers to a pull; `heartbeats` is undefined if nothing has changed. */
interface PulledRead {
    readonly heartbeats: number | undefined;
    readonly readAgeMs: number;
}

/**
 * Whether a follower knows the software of a target after each of `pulls`, if a connection to the target is lost while
 * the conductor has the first of them.
 */
async function knownAfterPulls(pulls: readonly PulledRead[]): Promise<readonly boolean[]> {
    const known: boolean[] = [];
    let entry = engineEntryFixture("a", 4, { heartbeats: 10 });
    const ask = async (unused: HostId, name: string): Promise<unknown> => {
        if (name !== "view-pull") {
            return Left({ reason: "no-answer", detail: name });
        }
        const number = known.length;
        known.push(view.software.of(entry) !== undefined);
        await passMs(10);
        if (number === 1) {
            view.software.recordConnectionLost(entry, clock.now());
        }
        const { heartbeats, readAgeMs } = pulls[number - 1] ?? { heartbeats: 10, readAgeMs: 0 };
        entry = { ...entry, heartbeats: heartbeats ?? entry.heartbeats };
        const content = heartbeats === undefined
            ? undefined
            : { operator: { config: undefined, versions: [], retiring: [] }, targets: [entry] };
        return Right(Right({ number, ageMs: 0, readAgeMs, content }));
    };
    const { task, view } = followerFixture(ask as PeerNetwork["ask"], true);
    task.start();
    while (known.length < pulls.length + 2) {
        await passMs(5);
    }
    task.stop();
    return known.slice(2, pulls.length + 2);
}

function passMs(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

describe("ViewTask", () => {
    it("looks the claim of an unresponsive conductor up every half second at hosts that claim first, less often at others", async () => {
        const [first, others] = await Promise.all([lookupsWithin(3700, false), lookupsWithin(3700, true)]);
        // The first pull waits for 1.4 s; before each further lookup come a short request and a pause of 250 ms each.
        expect(first).to.be.within(4, 6);
        expect(others).to.be.within(2, 3);
    });

    it("takes no heartbeat for newer than a loss because its read ended, or its answer arrived, after the loss", async () => {
        const known = await knownAfterPulls([
            { heartbeats: 11, readAgeMs: 0 },
            { heartbeats: 12, readAgeMs: 500 },
            { heartbeats: 13, readAgeMs: 0 },
            { heartbeats: 14, readAgeMs: 0 },
        ]);
        expect(known).to.deep.equal([false, false, false, true]);
    });

    it("takes no heartbeat for newer than a loss because an earlier read of the same targets was confirmed", async () => {
        const known = await knownAfterPulls([
            { heartbeats: undefined, readAgeMs: 0 },
            { heartbeats: undefined, readAgeMs: 0 },
            { heartbeats: 11, readAgeMs: 0 },
            { heartbeats: 12, readAgeMs: 0 },
        ]);
        expect(known).to.deep.equal([false, false, false, true]);
    });
});
