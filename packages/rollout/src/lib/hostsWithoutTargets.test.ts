/** Tests of hosts that are cut off from all targets while callers and the other hosts reach them. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import { after, asId, type HostId, type RouteKind } from "@tamarackpath/core";
import { expect } from "chai";
import { type CallAnswer } from "./CallAnswer.js";
import {
    type Arrival,
    type Fleet,
    plainService,
    startFleet,
    type TargetCut,
    targetFixture,
} from "./rolloutFleetFixtures.test.js";

const clock = createMonotonicClock();

/** Milliseconds from the start of a cut within which its host finds out that it reaches no target. */
const detectionMs = 1500;

/** Share of the calls that must be served: two thirds of that of the other hosts, where nothing fails. */
const minServedShare = 2 / 3;

/** The hosts that are cut off, and how. */
type Cuts = Map<HostId, TargetCut>;

const cutHost = asId<HostId>("h1");

function startCutFleet(
    cuts: Cuts,
    hosts = 3,
    answerMs: (arrival: Arrival) => number = () => 15,
): Promise<Fleet> {
    return startFleet(clock, {
        hosts,
        targets: ["a", "b", "c"].map(name => targetFixture(name, plainService)),
        behaviour: (unused, arrival) => ({ ms: answerMs(arrival), rateLimit: { kind: "none" } }),
        cutOf: host => cuts.get(host),
    });
}

interface TimedAnswer {
    readonly answer: CallAnswer;
    readonly ms: number;
}

async function timed(answer: Promise<CallAnswer>): Promise<TimedAnswer> {
    const startedAt = clock.now();
    return { answer: await answer, ms: clock.now() - startedAt };
}

/** Sends calls of `kind` through a host, one each 30 ms. */
async function callSteadily(
    fleet: Fleet,
    host: number,
    kind: RouteKind,
    count: number,
    timeoutMs = 1500,
): Promise<readonly TimedAnswer[]> {
    const answers: Promise<TimedAnswer>[] = [];
    for (let nth = 0; nth < count; nth++) {
        answers.push(timed(fleet.call(host, { kind, body: `${kind} ${nth}`, timeoutMs })));
        await fleet.pause(30);
    }
    return Promise.all(answers);
}

function servedShare(answers: readonly TimedAnswer[], maxMs: number): number {
    return answers.filter(({ answer, ms }) => (answer.kind === "answered" || answer.kind === "streamed") && ms <= maxMs)
        .length / answers.length;
}

function runsById({ arrivals }: Fleet): ReadonlyMap<string, number> {
    const runs = new Map<string, number>();
    arrivals.filter(({ path }) => path === "send").forEach(({ id }) => runs.set(id, (runs.get(id) ?? 0) + 1));
    return runs;
}

describe("Hosts without targets", () => {
    let fleet: Fleet;

    afterEach(() => fleet.stop());

    const kinds: readonly Exclude<RouteKind, "jobs">[] = ["idempotent", "non-idempotent", "streaming"];
    for (const mode of ["no answer", "refused"] as const) {
        for (const kind of kinds) {
            it(`serve ${kind} calls as well as the others, once each, when connections get ${mode}`, async () => {
                const cuts: Cuts = new Map();
                fleet = await startCutFleet(cuts);
                await callSteadily(fleet, 1, kind, 5);
                cuts.set(cutHost, mode);
                await callSteadily(fleet, 1, kind, detectionMs / 30);
                const answers = await callSteadily(fleet, 1, kind, 40);
                expect(servedShare(answers, 180), "share served in time").to.be.at.least(minServedShare);
                if (kind !== "idempotent") {
                    expect(Math.max(...runsById(fleet).values()), "runs of one call").to.equal(1);
                }
            });
        }
    }

    /** Cuts a host off and lets it find out by a few calls. */
    async function cutOff(cuts: Cuts, mode: TargetCut, hosts: readonly number[] = [1]): Promise<void> {
        hosts.forEach(nth => cuts.set(asId<HostId>(`h${nth}`), mode));
        await Promise.all(hosts.map(nth => callSteadily(fleet, nth, "idempotent", 10)));
        await fleet.pause(detectionMs);
    }

    const hostOf = (id: string): HostId | undefined =>
        fleet.arrivals.findLast(arrival => arrival.path === "send" && arrival.id === id)?.host;

    it("help the calls that waited for a connection when the cut began", async () => {
        const cuts: Cuts = new Map();
        fleet = await startCutFleet(cuts);
        await callSteadily(fleet, 1, "non-idempotent", 3);
        cuts.set(cutHost, "no answer");
        const answers = await callSteadily(fleet, 1, "non-idempotent", 10);
        expect(servedShare(answers, 500)).to.equal(1);
        expect(Math.max(...runsById(fleet).values())).to.equal(1);
    });

    it("find a cut that begins just after a successful probe", async () => {
        const cuts: Cuts = new Map();
        fleet = await startCutFleet(cuts);
        await fleet.hosts[1]!.reach.suspect();
        cuts.set(cutHost, "no answer");
        const answers = await callSteadily(fleet, 1, "non-idempotent", 10);
        expect(servedShare(answers, 700)).to.equal(1);
    });

    it("go back to the direct way once the cut has ended, and not all at the same time", async () => {
        const cuts: Cuts = new Map();
        fleet = await startCutFleet(cuts, 5);
        await cutOff(cuts, "refused", [1, 2, 3]);
        expect(fleet.hosts.slice(1, 4).map(({ reach }) => reach.isCutOff)).to.deep.equal([true, true, true]);
        cuts.clear();
        await fleet.pause(2000);
        expect(fleet.hosts.map(({ reach }) => reach.isCutOff)).to.deep.equal(fleet.hosts.map(() => false));
        const id = "after the cut";
        await fleet.call(1, { id });
        expect(hostOf(id)).to.equal("h1");
    });

    // Guards against calls that a host begins for another one while it stops, and cuts when it exits.
    it("send no calls through a host that is stopping, and learn which of theirs it ends", async () => {
        const cuts: Cuts = new Map();
        fleet = await startCutFleet(cuts, 3, ({ id }) => id === "long" ? 5000 : 15);
        await cutOff(cuts, "refused");
        const long = fleet.call(1, { id: "long", kind: "non-idempotent", timeoutMs: 8000 });
        await fleet.pause(150);
        const relay = hostOf("long")!;
        const stopping = fleet.hosts[Number(relay.slice(1))]!;
        expect(stopping.openRelays).to.equal(1);
        const drainedAt = after(clock.now(), 2600);
        stopping.stopAdmission.begin({ drainedAt, endAt: after(drainedAt, 400) });
        void stopping.resign();
        const answers = await callSteadily(fleet, 1, "non-idempotent", 110);
        expect(servedShare(answers, 1500)).to.equal(1);
        const late = fleet.arrivals.filter(({ path, at }) => path === "send" && at > drainedAt);
        expect(late.map(({ host }) => host)).to.not.be.empty.and.to.not.include(relay);
        stopping.endCalls();
        expect((await long).kind).to.equal("failed");
        await fleet.pause(20);
        expect(stopping.openRelays).to.equal(0);
    });

    it("refuse calls at once when no host reaches any target", async () => {
        const cuts: Cuts = new Map();
        fleet = await startCutFleet(cuts);
        await cutOff(cuts, "no answer", [0, 1, 2]);
        const answers = await callSteadily(fleet, 1, "non-idempotent", 10);
        expect(answers.map(({ answer }) => answer.kind)).to.deep.equal(answers.map(() => "refused"));
        expect(Math.max(...answers.map(({ ms }) => ms)), "milliseconds until the refusal").to.be.below(100);
        expect(fleet.hosts[1]!.reachesTargets).to.equal(false);
    });

    it("never pass a request on to a further host", async () => {
        const cuts: Cuts = new Map();
        fleet = await startCutFleet(cuts, 4);
        await cutOff(cuts, "refused", [0, 1, 2]);
        const answers = await callSteadily(fleet, 1, "idempotent", 20);
        expect(servedShare(answers, 180)).to.be.at.least(minServedShare);
        const relayed = fleet.lines.filter(({ event }) => event === "call-relayed").map(({ fields }) => fields);
        const taken = relayed.filter(({ end }) => end !== "not-taken");
        expect([...new Set(taken.map(({ through }) => through))]).to.deep.equal(["h3"]);
        expect([...new Set(relayed.filter(({ through }) => through !== "h3").map(({ detail }) => detail))])
            .to.have.members(relayed.length === taken.length ? [] : ["This host reaches no target either."]);
        expect(fleet.arrivals.slice(-20).map(({ host }) => host)).to.deep.equal(answers.map(() => "h3"));
    });

    it("do not say that a call has not run when the host that sent it for them is lost", async () => {
        const cuts: Cuts = new Map();
        fleet = await startCutFleet(cuts, 2, () => 400);
        await cutOff(cuts, "refused");
        const answer = timed(fleet.call(1, { id: "lost", kind: "non-idempotent" }));
        await fleet.pause(100);
        fleet.setCut(0, true);
        expect((await answer).answer.kind).to.equal("failed");
        expect(runsById(fleet).get("lost")).to.equal(1);
    });

    it("end a relayed request when its caller leaves", async () => {
        const cuts: Cuts = new Map();
        fleet = await startCutFleet(cuts, 2, () => 600);
        await cutOff(cuts, "refused");
        const left = new AbortController();
        const answer = fleet.call(1, { id: "left", kind: "non-idempotent", callerGone: left.signal });
        await fleet.pause(100);
        expect(fleet.hosts[0]!.targets.sessionCount).to.equal(1);
        left.abort();
        expect((await answer).kind).to.equal("left");
        await fleet.pause(50);
        expect(fleet.hosts[0]!.targets.sessionCount).to.equal(0);
    });

    it("leave the jobs to a host that reaches targets", async () => {
        const cuts: Cuts = new Map();
        fleet = await startCutFleet(cuts);
        const before = fleet.hosts.findIndex(({ conductor }) => conductor.isConductor);
        await cutOff(cuts, "refused", [before]);
        await fleet.pause(2500);
        const after = fleet.hosts.findIndex(({ conductor }) => conductor.isConductor);
        expect(after).not.to.be.oneOf([before, -1]);
        await callSteadily(fleet, before, "idempotent", 5);
        const answers = await callSteadily(fleet, before, "idempotent", 20);
        expect(servedShare(answers, 180)).to.be.at.least(minServedShare);
    });

    it("leave the jobs to the only host that reaches targets, and find it, when they are cut off from the start", async () => {
        const cuts: Cuts = new Map();
        fleet = await startCutFleet(cuts, 4);
        const conductor = fleet.hosts.findIndex(host => host.conductor.isConductor);
        const reaching = (conductor + 1) % 4;
        const cutHosts = [0, 1, 2, 3].filter(nth => nth !== reaching);
        await cutOff(cuts, "refused", cutHosts);
        const answers = await callSteadily(fleet, cutHosts[0]!, "idempotent", 20);
        expect(servedShare(answers, 180)).to.be.at.least(minServedShare);
        await fleet.pause(500);
        expect(fleet.hosts.findIndex(host => host.conductor.isConductor)).to.equal(reaching);
    });
});
