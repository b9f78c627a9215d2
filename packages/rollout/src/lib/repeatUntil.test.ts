/** Tests that an unexpected error does not end a loop of a host's tasks. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import { after, asId, type HostId, type PeerNetwork, type PlatformDocuments, sleepUntil } from "@tamarackpath/core";
import { expect } from "chai";
import { Left, Right } from "purify-ts";
import { type ConductorTask } from "./ConductorTask.js";
import { HostView } from "./HostView.js";
import { type Journal, noopJournal } from "./Journal.js";
import { crashGuardFixture, permitsFixture, viewOptionsFixture } from "./permitsFixtures.test.js";
import { repeatUntil } from "./repeatUntil.js";
import { ViewTask } from "./ViewTask.js";

const clock = createMonotonicClock();

describe("repeatUntil", () => {
    it("goes on after an error, and logs it with the name of the loop", async () => {
        const lines: string[] = [];
        const journal: Journal = { log: (event, fields) => void lines.push(`${event} ${String(fields?.["loop"])}`) };
        let steps = 0;
        const step = async (): Promise<void> => {
            steps++;
            if (steps === 1) {
                throw new TypeError("An unexpected document.");
            }
        };
        await repeatUntil(() => steps === 3, step, { name: "read", clock, journal });
        expect(lines).to.deep.equal(["unexpected-error read"]);
    });
});

describe("ViewTask", () => {
    it("reads the documents again after a document that made it fail", async () => {
        let reads = 0;
        const documents = {
            readOperator: async () => Left({ applied: "no", detail: "none" }),
            readTargets: async () => {
                reads++;
                if (reads === 1) {
                    throw new TypeError("An unexpected document.");
                }
                return Right([]);
            },
        } as unknown as PlatformDocuments;
        const conductor = {
            conductor: undefined,
            isConductor: false,
            isSure: false,
            adoptReportedConductor: () => undefined,
            lookUpClaim: async () => {
                await sleepUntil(clock, after(clock.now(), 100));
                return true;
            },
        } as unknown as ConductorTask;
        const peers = {
            handle: () => undefined,
            setAddress: () => undefined,
            ask: async () => Left({ reason: "not-sent", detail: "none" }),
        } as unknown as PeerNetwork;
        const options = viewOptionsFixture({ seeds: [asId<HostId>("seed")] });
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
        task.start();
        await sleepUntil(clock, after(clock.now(), 1200));
        task.stop();
        expect(reads).to.be.greaterThan(1);
        expect(view.ageMs).to.be.below(1200);
    });
});
