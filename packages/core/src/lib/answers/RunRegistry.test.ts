/** Tests of the book of requests that must not be repeated. */

import { expect } from "chai";
import fc from "fast-check";
import { type Instant } from "../ids.js";
import { isNotRun, nextPhase, type RunEvent, type RunPhase } from "./RunPhase.js";
import { RunRegistry } from "./RunRegistry.js";

const later = 1000 as Instant;
const events: readonly RunEvent[] = ["dispatch", "hand-over", "answer", "lose", "give-back", "abandon"];

function createBook(entriesPerCaller = 10, outcomeBytesPerCaller = 100): RunRegistry<string> {
    return new RunRegistry<string>({ entriesPerCaller, outcomeBytesPerCaller });
}

describe("the right to run", () => {
    it("says \"not run\" again only when it was given back before any byte left", () => {
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

describe("the book of requests", () => {
    it("lets a request run once and replays its outcome", () => {
        const book = createBook();
        book.admit("1", "desk/a", undefined, later);
        expect(book.tryDispatch("1", "desk/a", "f").kind).to.equal("run");
        expect(book.tryDispatch("1", "desk/a", "f").kind).to.equal("wait");
        book.answer("1", "done", 4);
        expect(book.tryDispatch("1", "desk/a", "f")).to.deep.equal({ kind: "replay", outcome: "done" });
    });

    it("keeps callers apart and refuses another request under the same id", () => {
        const book = createBook();
        book.admit("1", "desk/a", "f", later);
        expect(book.tryDispatch("1", "desk/b", "f").kind).to.equal("other-request");
        expect(book.tryDispatch("1", "desk/a", "g").kind).to.equal("other-request");
        expect(book.tryDispatch("2", "desk/a", "f").kind).to.equal("unknown");
    });

    it("takes an answer that comes after the outcome was given up", () => {
        const book = createBook();
        book.admit("1", "desk/a", "f", later);
        book.tryDispatch("1", "desk/a", "f");
        book.apply("1", "lose");
        expect(book.tryDispatch("1", "desk/a", "f").kind).to.equal("unknown");
        book.answer("1", "late", 4);
        expect(book.tryDispatch("1", "desk/a", "f").kind).to.equal("replay");
    });

    it("never runs an abandoned request", () => {
        const book = createBook();
        book.admit("1", "desk/a", "f", later);
        book.apply("1", "abandon");
        expect(book.tryDispatch("1", "desk/a", "f").kind).to.equal("abandoned");
    });

    it("bounds the requests and the outcomes of each caller", () => {
        const book = createBook(2, 100);
        expect(["1", "2", "3"].map(id => book.admit(id, "desk/a", "f", later))).to.deep.equal([true, true, false]);
        expect(book.admit("4", "desk/b", "f", later)).to.equal(true);
        for (const id of ["1", "2"]) {
            book.tryDispatch(id, "desk/a", "f");
            book.answer(id, "x", 60);
        }
        expect(book.tryDispatch("1", "desk/a", "f").kind).to.equal("outcome-dropped");
        expect(book.tryDispatch("2", "desk/a", "f").kind).to.equal("replay");
    });

    it("forgets what is settled, and no request that may still run", () => {
        const book = createBook(2);
        book.admit("1", "desk/a", "f", later);
        book.admit("2", "desk/a", "f", later);
        book.tryDispatch("2", "desk/a", "f");
        expect(book.evictExpired(later)).to.deep.equal(["1"]);
        expect(book.tryDispatch("1", "desk/a", "f").kind).to.equal("unknown");
        expect(book.unsettled).to.equal(1);
        expect(book.admit("3", "desk/a", "f", later)).to.equal(true);
    });
});
