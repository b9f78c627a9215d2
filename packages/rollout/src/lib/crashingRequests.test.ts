/** Tests that a request which ends the targets that run it is soon sent to no further ones, by any host. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import {
    type Clock,
    type ForwardOutcome,
    type Incarnation,
    type TargetEntryView,
    type TargetId,
} from "@tamarackpath/core";
import { expect } from "chai";
import {
    type Arrival,
    engineService,
    type Fleet,
    fleetJobFixture,
    plainService,
    startFleet,
    type TargetBehaviour,
    targetFixture,
} from "./rolloutFleetFixtures.test.js";

const clock: Clock = createMonotonicClock();
const hostCount = 4;

/** Milliseconds after the third crash from which further attempts count, and how many there may be, by the platform's rules. */
const settleMs = 3000;
const maxLaterAttempts = 3;

/** Milliseconds for which a sound request may fail after its targets ended for another reason. */
const maxWrongBlockMs = 6000;

/** Milliseconds for which a target is down after a crash. */
const downMs = 700;

const lost: ForwardOutcome = { kind: "unknown", detail: "closed", isConnectionLost: true };
const unreachable: ForwardOutcome = { kind: "not-run", detail: "refused", reached: false };
const misdirected: ForwardOutcome = { kind: "not-run", detail: "another incarnation", reached: true };

/** Three targets that end when they run a call of which `isFatal` holds, and start again as new incarnations. */
class FragileTargets {
    readonly crashes: { readonly target: TargetId; readonly at: number; }[] = [];
    /** Requests that reached a running target, also those that it did not run. */
    readonly reached: Arrival[] = [];
    private readonly entries = ["a", "b", "c"].map(name => targetFixture(name, plainService));
    private readonly downUntil = new Map<TargetId, number>();

    constructor(private readonly isFatal: (arrival: Arrival) => boolean) {}

    get listed(): readonly TargetEntryView[] {
        return this.entries;
    }

    behaviour(target: TargetId, arrival: Arrival): TargetBehaviour {
        const nth = this.entries.findIndex(entry => entry.target === target);
        if (nth < 0) {
            return { ms: 5, rateLimit: { kind: "none" } };
        }
        const entry = this.entries[nth]!;
        if ((this.downUntil.get(target) ?? 0) > clock.now()) {
            return { ms: 1, rateLimit: { kind: "none" }, call: unreachable };
        }
        this.reached.push(arrival);
        if (arrival.entry.incarnation !== entry.incarnation) {
            return { ms: 1, rateLimit: { kind: "none" }, call: misdirected };
        }
        if (!this.isFatal(arrival)) {
            const hasEnded = (): boolean => this.entries[nth] !== entry;
            return { ms: 60, rateLimit: { kind: "none" }, call: () => hasEnded() ? lost : undefined };
        }
        this.crash(target);
        return { ms: 20, rateLimit: { kind: "none" }, call: lost };
    }

    crash(target: TargetId): void {
        const nth = this.entries.findIndex(entry => entry.target === target);
        const entry = this.entries[nth]!;
        this.crashes.push({ target, at: clock.now() });
        this.downUntil.set(target, clock.now() + downMs);
        this.entries[nth] = { ...entry, incarnation: entry.incarnation + 1 as Incarnation };
    }
}

function fragileFleet(targets: FragileTargets): Promise<Fleet> {
    return startFleet(clock, {
        hosts: hostCount,
        targets: () => [...targets.listed, targetFixture("engine", engineService)],
        behaviour: (target, arrival) => targets.behaviour(target, arrival),
    });
}

function hasBody(arrival: Arrival, text: string): boolean {
    return arrival.call !== undefined && Buffer.from(arrival.call.body).toString() === text;
}

describe("requests that crash targets", () => {
    let fleet: Fleet;

    afterEach(() => fleet.stop());

    it("reach few targets after the third crash, whichever hosts their repeats reach", async function() {
        this.timeout(30_000);
        const targets = new FragileTargets(arrival => hasBody(arrival, "fatal"));
        fleet = await fragileFleet(targets);
        const startedAt = clock.now();
        for (let nth = 0; clock.now() < startedAt + 9000; nth++) {
            void fleet.call(nth % hostCount, { body: "fatal" });
            await fleet.pause(230);
        }
        expect(targets.crashes.length).to.be.at.least(3);
        const from = targets.crashes[2]!.at + settleMs;
        const later = targets.reached.filter(arrival => hasBody(arrival, "fatal") && arrival.at > from);
        expect(later.length).to.be.at.most(maxLaterAttempts);
    });

    it("are answered at once, while the same body of another caller and other requests are served", async function() {
        this.timeout(30_000);
        const targets = new FragileTargets(arrival =>
            arrival.call?.caller === "bad" && arrival.call.path === "/calls/" && hasBody(arrival, "x")
        );
        fleet = await fragileFleet(targets);
        for (let nth = 0; nth < 20; nth++) {
            void fleet.call(nth % hostCount, { body: "x", caller: "bad" });
            await fleet.pause(150);
        }
        await fleet.pause(2000);
        const startedAt = clock.now();
        const answers = await Promise.all([
            fleet.call(0, { body: "x", caller: "bad" }),
            fleet.call(1, { body: "x", caller: "bad" }),
        ]);
        expect(answers.map(({ kind }) => kind)).to.deep.equal(["failed", "failed"]);
        expect(clock.now() - startedAt).to.be.below(100);
        const others = await Promise.all([
            fleet.call(0, { body: "x", caller: "good" }),
            fleet.call(1, { body: "y", caller: "bad" }),
            fleet.call(2, { body: "x", caller: "bad", kind: "non-idempotent" }),
        ]);
        expect(others.map(({ kind }) => kind)).to.deep.equal(["answered", "answered", "answered"]);
    });

    it("do not include a sound, frequent request whose targets end for another reason", async function() {
        this.timeout(30_000);
        const targets = new FragileTargets(() => false);
        fleet = await fragileFleet(targets);
        const answers: { readonly kind: string; readonly at: number; }[] = [];
        for (let nth = 0; nth < 130; nth++) {
            void fleet.call(nth % hostCount, { body: "poll" }).then(({ kind }) => {
                answers.push({ kind, at: clock.now() });
            });
            if (nth === 10) {
                // All targets of a rack end at once, each while it runs the request.
                await Promise.all([1, 2, 3].map(host => fleet.call(host, { body: "poll", timeoutMs: 30 })));
                targets.listed.forEach(({ target }) => targets.crash(target));
            }
            await fleet.pause(70);
        }
        await fleet.pause(200);
        const lastFailed = Math.max(...answers.filter(({ kind }) => kind !== "answered").map(({ at }) => at));
        expect(targets.crashes.length).to.equal(3);
        expect(lastFailed - targets.crashes[0]!.at).to.be.below(maxWrongBlockMs);
        expect(answers.at(-1)!.kind).to.equal("answered");
    });

    it("do not include items of jobs, which stay owed although engines ended under them", async function() {
        this.timeout(30_000);
        let left = 5;
        const engines = ["e1", "e2"].map(name => targetFixture(name, engineService));
        fleet = await startFleet(clock, {
            hosts: hostCount,
            targets: engines,
            behaviour: () => ({
                ms: 10,
                rateLimit: { kind: "none" },
                run: left-- > 0 ? { kind: "fault", detail: "closed" } : { kind: "completed" },
            }),
        });
        await fleet.submit(fleetJobFixture("j", 1));
        await fleet.pause(8000);
        expect(fleet.lines.filter(({ event, fields }) => event === "task-ended" && fields["end"] === "completed"))
            .to.have.length(1);
    });
});
