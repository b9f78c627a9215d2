/** Tests of job calls at a host that reaches neither the conductor nor the store, while other hosts reach the conductor. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import {
    asId,
    type HostId,
    type JobId,
    type JobRequestEnd,
    type PeerHandler,
    type PeerNetwork,
    type PeerRequestName,
} from "@tamarackpath/core";
import { expect } from "chai";
import { Left, Right } from "purify-ts";
import { ConductorCalls } from "./ConductorCalls.js";
import { noopJournal } from "./Journal.js";

const clock = createMonotonicClock();
const conductorId = asId<HostId>("conductor");

interface Network {
    /** Peers of the host `self`; links to hosts in `unreachable` fail as not sent, those in `silent` get no answer. */
    readonly peersOf: (self: string, unreachable?: readonly string[], silent?: readonly string[]) => PeerNetwork;
    /** Requests that arrived at each host. */
    readonly arrivals: string[];
}

function networkFixture(): Network {
    const handlers = new Map<string, Map<string, PeerHandler<PeerRequestName>>>();
    const arrivals: string[] = [];
    const peersOf: Network["peersOf"] = (self, unreachable = [], silent = []) => {
        const own = new Map<string, PeerHandler<PeerRequestName>>();
        handlers.set(self, own);
        return {
            handle: (name: string, handler: PeerHandler<PeerRequestName>) => own.set(name, handler),
            setAddress: () => undefined,
            ask: async (host: HostId, name: string, ask: never) => {
                if (unreachable.includes(host)) {
                    return Left({ reason: "not-sent", detail: "unreachable" });
                }
                arrivals.push(`${name} at ${host}`);
                return silent.includes(host)
                    ? Left({ reason: "no-answer", detail: "silent" })
                    : Right(await handlers.get(host)!.get(name)!(ask, asId<HostId>(self)));
            },
        } as unknown as PeerNetwork;
    };
    return { peersOf, arrivals };
}

function callsFixture(peers: PeerNetwork, isCutOff: boolean, relays: readonly string[] = []): ConductorCalls {
    return new ConductorCalls(
        {
            isCutOff: () => isCutOff,
            chooseRelay: tried => relays.map(host => asId<HostId>(host)).find(host => !tried.has(host)),
        },
        { conductor: conductorId, isConductor: false },
        peers,
        clock,
        noopJournal,
    );
}

function endJob(calls: ConductorCalls): Promise<JobRequestEnd<"job-end">> {
    return calls.ask("job-end", { job: asId<JobId>("j") }, 500);
}

describe("ConductorCalls", () => {
    // Guards against a third of the entry hosts that are cut off and hold each job call for ten seconds.
    it("reach the conductor through the first host that reaches it", async () => {
        const { peersOf, arrivals } = networkFixture();
        peersOf("conductor").handle("job-end", async () => Right({ ended: true }));
        callsFixture(peersOf("also-cut", ["conductor"]), true);
        callsFixture(peersOf("relay"), false);
        const calls = callsFixture(peersOf("cut", ["conductor", "gone"]), true, ["gone", "also-cut", "relay"]);
        expect(await endJob(calls)).to.deep.equal({ kind: "answered", answer: { ended: true } });
        expect(arrivals).to.deep.equal(["job-relay at also-cut", "job-relay at relay", "job-end at conductor"]);
    });

    it("may have been carried out when a relay or its conductor does not answer, and are not sent again", async () => {
        const { peersOf, arrivals } = networkFixture();
        peersOf("conductor").handle("job-end", async () => Right({ ended: true }));
        callsFixture(peersOf("relay", [], ["conductor"]), false);
        callsFixture(peersOf("other"), false);
        const lost = callsFixture(peersOf("cut", ["conductor"]), true, ["relay", "other"]);
        expect((await endJob(lost)).kind).to.equal("no-answer");
        expect(arrivals).to.deep.equal(["job-relay at relay", "job-end at conductor"]);
        const silent = callsFixture(peersOf("cut", ["conductor"], ["relay"]), true, ["relay", "other"]);
        expect((await endJob(silent)).kind).to.equal("no-answer");
    });

    it("end at once when no host passes them on", async () => {
        const { peersOf } = networkFixture();
        const calls = callsFixture(peersOf("cut", ["a", "b", "c", "d"]), true, ["a", "b", "c", "d"]);
        expect((await endJob(calls)).kind).to.equal("not-sent");
    });
});
