/**
 * Tests that a host gets all of a conductor's view that it does not have, when the conductor's process starts anew under the
 * same address and counts its changes up to the number that the host remembers.
 */

import { createMonotonicClock } from "@tamarackpath/adapters";
import {
    asId,
    type ConductorView,
    type ConfigRevision,
    type HostId,
    type KeyRevision,
    type OperatorView,
    type PeerNetwork,
    type PeerRequests,
    type PlatformDocuments,
    type ZoneId,
} from "@tamarackpath/core";
import { expect } from "chai";
import Emittery from "emittery";
import { type Either, Left, Right } from "purify-ts";
import { type ConductorEvents, type ConductorTask } from "./ConductorTask.js";
import { HostView } from "./HostView.js";
import { noopJournal } from "./Journal.js";
import { crashGuardFixture, permitsFixture, viewOptionsFixture } from "./permitsFixtures.test.js";
import { type RequestPermits } from "./RequestPermits.js";
import { engineService, targetFixture } from "./rolloutFleetFixtures.test.js";
import { ViewTask } from "./ViewTask.js";

type Pull = PeerRequests["view-pull"]["ask"];
type PullHandler = (ask: Pull, from: HostId) => Promise<Either<unknown, ConductorView>>;

const clock = createMonotonicClock();
const conductorId = asId<HostId>("conductor");
const followerId = asId<HostId>("follower");
const limitedTarget = targetFixture("a", engineService);

/** Milliseconds within which a follower must have what a new process of the conductor has. */
const catchUpMs = 2000;

/** Milliseconds that a pull waits for a change. */
const pullWaitMs = 800;

function operatorFixture(revision: number): OperatorView {
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    return {
        config: { revision: revision as ConfigRevision, routes: [], services: [], limits },
        versions: [],
        retiring: [],
    };
}

interface HostFixture {
    readonly task: ViewTask;
    readonly view: HostView;
    readonly permits: RequestPermits;
    readonly handlePull: PullHandler;
}

/** A host whose claim has the fencing token `fence`, or one that follows `conductorId` by `ask`. */
function hostFixture(fence: number | undefined, ask?: PeerNetwork["ask"]): HostFixture {
    const handlers = new Map<string, PullHandler>();
    const peers = {
        handle: (name: string, handler: PullHandler) => handlers.set(name, handler),
        setAddress: () => undefined,
        ask,
    } as unknown as PeerNetwork;
    const conductor = {
        events: new Emittery<ConductorEvents>(),
        conductor: conductorId,
        isConductor: fence !== undefined,
        isSure: fence !== undefined,
        term: { currentClaim: fence === undefined ? undefined : { fence: fence as KeyRevision } },
        recordTerm: () => true,
        adoptReportedConductor: () => undefined,
        lookUpClaim: async () => true,
    } as unknown as ConductorTask;
    const documents = {
        readOperator: async () => Left({ applied: "no", detail: "none" }),
        readTargets: async () => Left({ applied: "no", detail: "none" }),
    } as unknown as PlatformDocuments;
    const view = new HostView(clock, noopJournal);
    const permits = permitsFixture({ handle: () => undefined } as unknown as PeerNetwork, clock);
    const task = new ViewTask(
        viewOptionsFixture(),
        view,
        conductor,
        permits,
        crashGuardFixture(),
        documents,
        peers,
        clock,
        noopJournal,
    );
    return { task, view, permits, handlePull: (...args) => handlers.get("view-pull")!(...args) };
}

/** A process of the conductor whose view has changed twice, and whose rate limits once. */
function conductorFixture(fence: number, revision: number): HostFixture {
    const host = hostFixture(fence);
    host.view.applyOperator(operatorFixture(revision), "store");
    host.view.applyTargets([limitedTarget], undefined);
    const { target, incarnation } = limitedTarget;
    host.permits.adoptReports([{ target, incarnation, perSecond: revision, sentAgeMs: 0, receivedAgeMs: 0 }]);
    return host;
}

/** Answers as a conductor of the build before does, which compares the numbers only and tells no fencing token. */
function answersOfEarlierBuild({ view, permits }: HostFixture): PullHandler {
    return async ({ have, haveLimits = -1 }) => {
        if (have === view.revision && haveLimits === permits.revision) {
            await passMs(pullWaitMs);
        }
        const content = { operator: view.operator, targets: view.directory.targets };
        return Right({
            number: view.revision,
            ageMs: 0,
            content: have === view.revision ? undefined : content,
            limits: { number: permits.revision, reports: permits.changesSince(haveLimits) },
        });
    };
}

/** What a host of the build before asks. */
function pullOfEarlierBuild(have: number, haveLimits: number, haveCrashes: number): Pull {
    return { have, haveLimits, haveCrashes, zone: asId<ZoneId>("z"), hasCallers: true };
}

function passMs(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** What a follower has of its conductor: the configuration's revision and the limit of a target. */
function knownBy({ view, permits }: HostFixture): readonly unknown[] {
    return [view.routes?.config.revision, permits.describe(limitedTarget).limitPerSecond];
}

/**
 * What a follower knows of two processes of its conductor, each after `catchUpMs`, and how often it pulled from the
 * second one.
 */
async function followTwoProcesses(
    answersOf: (conductor: HostFixture) => PullHandler,
): Promise<{ readonly known: readonly unknown[]; readonly pulls: number; }> {
    let answer = answersOf(conductorFixture(5, 1));
    let pulls = 0;
    const ask = async (unused: HostId, name: string, body: Pull): Promise<unknown> => {
        if (name !== "view-pull") {
            return Left({ reason: "no-answer", detail: name });
        }
        pulls++;
        await passMs(1);
        return Right(await answer(body, followerId));
    };
    const follower = hostFixture(undefined, ask as unknown as PeerNetwork["ask"]);
    follower.task.start();
    await passMs(100);
    const first = knownBy(follower);
    answer = answersOf(conductorFixture(9, 2));
    pulls = 0;
    await passMs(catchUpMs);
    follower.task.stop();
    return { known: [first, knownBy(follower)], pulls };
}

describe("The revisions of a view", () => {
    // Guards against hosts that keep an old configuration for good after a restart of the conductor.
    it("do not make a host take an old view for that of a new process of its conductor", async () => {
        const { known } = await followTwoProcesses(({ handlePull }) => handlePull);
        expect(known).to.deep.equal([[1, 1], [2, 2]]);
    });

    it("do not do so either when the conductor is of the build before, at little more than the usual number of pulls", async () => {
        const { known, pulls } = await followTwoProcesses(answersOfEarlierBuild);
        expect(known).to.deep.equal([[1, 1], [2, 2]]);
        // Each pull that waits for a change is followed by one that does not.
        expect(pulls).to.be.at.most(2 * Math.ceil(catchUpMs / pullWaitMs) + 1);
    });

    it("of a host of the build before count only if they come from this process", async () => {
        const { handlePull } = conductorFixture(9, 2);
        const first = (await handlePull(pullOfEarlierBuild(2, 1, 0), followerId)).unsafeCoerce();
        expect(first.content?.operator.config?.revision).to.equal(2);
        expect(first.limits?.reports.length).to.equal(1);
        const startedAt = clock.now();
        const { number, limits, crashes } = first;
        await handlePull(pullOfEarlierBuild(number, limits!.number, crashes!.number), followerId);
        expect(clock.now() - startedAt).to.be.at.least(pullWaitMs - 20);
    });

    it("spare a host that has the view of this process its content", async () => {
        const { handlePull } = conductorFixture(9, 2);
        const pull = { ...pullOfEarlierBuild(2, 1, 0), haveFence: 9 as KeyRevision };
        const answer = (await handlePull(pull, followerId)).unsafeCoerce();
        expect([answer.fence, answer.content, answer.limits?.reports]).to.deep.equal([9, undefined, []]);
    });
});
