/** Tests that an answer that ends within an event counts as lost on each way to a target. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import { asId, type ForwardOutcome, type HostId, type ResponseHead, type StreamHandler } from "@tamarackpath/core";
import { expect } from "chai";
import { type Fleet, plainService, startFleet, targetFixture } from "./rolloutFleetFixtures.test.js";
import { requireWholeAnswer } from "./wholeAnswers.js";

const clock = createMonotonicClock();

/** Milliseconds after which a host that is cut off from targets knows others that are not. */
const relaysKnownMs = 2000;

const [event, half] = ["id: 1\ndata: a\n\n", "id: 2\ndata: b"];

function headFixture(contentType: string): ResponseHead {
    return { status: 200, signature: "s", headers: ["Content-Type", contentType] };
}

/** The outcome of an attempt whose target sends `text`, as a stream or in one piece, and what of it was passed on. */
async function outcomeOf(
    text: string,
    contentType: string,
    isStream: boolean,
): Promise<{ readonly kind: string; readonly passed: string; }> {
    let passed = "";
    const handler: StreamHandler = {
        onHead: () => undefined,
        onChunk: async bytes => void (passed += Buffer.from(bytes).toString()),
    };
    const send = async (wrapped: StreamHandler | undefined): Promise<ForwardOutcome> => {
        const head = headFixture(contentType);
        if (wrapped === undefined) {
            return { kind: "answered", head, body: Buffer.from(text) };
        }
        wrapped.onHead(head);
        for (const character of text) {
            await wrapped.onChunk(Buffer.from(character));
        }
        return { kind: "streamed" };
    };
    return { kind: (await requireWholeAnswer(isStream ? handler : undefined, send)).kind, passed };
}

describe("An answer of a target", () => {
    // Guards against answers that break off in an event and count as whole.
    it("counts as lost when it ends within an event, after what has come was passed on", async () => {
        expect(await outcomeOf(event + half, "text/event-stream", true)).to.deep.equal({
            kind: "unknown",
            passed: event + half,
        });
        expect((await outcomeOf(event + half, "text/event-stream", false)).kind).to.equal("unknown");
    });

    it("counts as whole when it ends after an event, or is no stream of events", async () => {
        expect((await outcomeOf(event, "text/event-stream", true)).kind).to.equal("streamed");
        expect((await outcomeOf(event, "text/event-stream", false)).kind).to.equal("answered");
        expect((await outcomeOf(half, "application/json", true)).kind).to.equal("streamed");
        expect((await outcomeOf(half, "application/json", false)).kind).to.equal("answered");
    });
});

describe("A stream that ends within an event", () => {
    let fleet: Fleet;

    afterEach(() => fleet.stop());

    for (const [name, isRelayed] of Object.entries({ directly: false, "through another host": true })) {
        it(`is broken off for the caller if it comes ${name}`, async () => {
            const first = asId<HostId>("h0");
            let isCut = false;
            fleet = await startFleet(clock, {
                hosts: 3,
                targets: [targetFixture("p", plainService)],
                behaviour: () => ({ ms: 10, rateLimit: { kind: "none" }, events: event + half }),
                cutOf: host => isCut && host === first ? "refused" : undefined,
            });
            isCut = isRelayed;
            await fleet.pause(isRelayed ? relaysKnownMs : 0);
            const answer = await fleet.call(0, { path: "/streams/", kind: "streaming" });
            expect(answer.kind).to.equal("broken");
            expect(fleet.arrivals.map(({ host }) => host === first)).to.deep.equal([!isRelayed]);
        });
    }
});
