/** Tests of the registry of requests that must not be repeated. */

import { expect } from "chai";
import fc from "fast-check";
import { type Instant } from "../ids.js";
import { isNotRun, nextPhase, type RunEvent, type RunPhase } from "./RunPhase.js";
import { RunRegistry } from "./RunRegistry.js";

const later = 1000 as Instant;
const events: readonly RunEvent[] = ["dispatch", "hand-over", "answer", "lose", "give-back", "abandon"];

function createRegistry(entriesPerCaller = 10, outcomeBytesPerCaller = 100): RunRegistry<string> {
    return new RunRegistry<string>({ entriesPerCaller, outcomeBytesPerCaller });
}

describe("RunPhase", () => {
    it("is \"not run\" only while no byte was handed to a target", () => {
        fc.assert(
            fc.property(fc.array(fc.constantFrom(...events)), given => {
                let phase: RunPhase = "admitted";
                let mayHaveRun = false;
                for (const event of given) {
                    const next = nextPhase(phase, event);
                    mayHaveRun ||= next !== undefined && ["hand-over", "answer", "lose"].includes(event);
                    phase = next ?? phase;
                    expect(mayHaveRun && isNotRun(phase)).to.equal(false);
                }
            }),
            { seed: 3, numRuns: 2000 },
        );
    });
});

describe("RunRegistry", () => {
    it("lets a request run once and replays its outcome", () => {
        const registry = createRegistry();
        registry.admit("1", "desk/a", undefined, later);
        expect(registry.tryDispatch("1", "desk/a", "f").kind).to.equal("run");
        expect(registry.tryDispatch("1", "desk/a", "f").kind).to.equal("wait");
        registry.answer("1", "done", 4);
        expect(registry.tryDispatch("1", "desk/a", "f")).to.deep.equal({ kind: "replay", outcome: "done" });
    });

    it("separates callers and refuses another request with the same id", () => {
        const registry = createRegistry();
        registry.admit("1", "desk/a", "f", later);
        expect(registry.tryDispatch("1", "desk/b", "f").kind).to.equal("other-request");
        expect(registry.tryDispatch("1", "desk/a", "g").kind).to.equal("other-request");
        expect(registry.tryDispatch("2", "desk/a", "f").kind).to.equal("unknown");
    });

    it("accepts an answer that arrives after the outcome was recorded as unknown", () => {
        const registry = createRegistry();
        registry.admit("1", "desk/a", "f", later);
        registry.tryDispatch("1", "desk/a", "f");
        registry.apply("1", "lose");
        expect(registry.tryDispatch("1", "desk/a", "f").kind).to.equal("unknown");
        registry.answer("1", "late", 4);
        expect(registry.tryDispatch("1", "desk/a", "f").kind).to.equal("replay");
    });

    it("never runs an abandoned request", () => {
        const registry = createRegistry();
        registry.admit("1", "desk/a", "f", later);
        registry.apply("1", "abandon");
        expect(registry.tryDispatch("1", "desk/a", "f").kind).to.equal("abandoned");
    });

    it("limits the requests and the outcomes of each caller", () => {
        const registry = createRegistry(2, 100);
        expect(["1", "2", "3"].map(id => registry.admit(id, "desk/a", "f", later))).to.deep.equal([true, true, false]);
        expect(registry.admit("4", "desk/b", "f", later)).to.equal(true);
        for (const id of ["1", "2"]) {
            registry.tryDispatch(id, "desk/a", "f");
            registry.answer(id, "x", 60);
        }
        expect(registry.tryDispatch("1", "desk/a", "f").kind).to.equal("outcome-dropped");
        expect(registry.tryDispatch("2", "desk/a", "f").kind).to.equal("replay");
    });

    it("removes settled requests, and none that may still run", () => {
        const registry = createRegistry(2);
        registry.admit("1", "desk/a", "f", later);
        registry.admit("2", "desk/a", "f", later);
        registry.tryDispatch("2", "desk/a", "f");
        expect(registry.evictExpired(later)).to.deep.equal(["1"]);
        expect(registry.tryDispatch("1", "desk/a", "f").kind).to.equal("unknown");
        expect(registry.unsettled).to.equal(1);
        expect(registry.admit("3", "desk/a", "f", later)).to.equal(true);
    });
});
