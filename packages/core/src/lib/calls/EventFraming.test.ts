/** Tests of where a stream of events may end. */

import { expect } from "chai";
import fc from "fast-check";
import { EventFraming, eventFramingOf } from "./EventFraming.js";

function isWhole(...pieces: readonly (string | Uint8Array)[]): boolean {
    const framing = new EventFraming();
    pieces.forEach(piece => framing.add(Buffer.from(piece)));
    return framing.isBetweenEvents;
}

const event = "id: 1\ndata: text\n\n";

/** Streams by where they end. */
const ends: Record<string, readonly [text: string, isWhole: boolean]> = {
    "before the first event": ["", true],
    "after an event": [event, true],
    "after an event with other line ends": ["id: 1\r\ndata: text\r\n\r\n", true],
    "after an event with single carriage returns": ["id: 1\rdata: text\r\r", true],
    "after a comment": [`${event}:\n`, true],
    "after a comment that ends like an event": [`${event}: still here\n\n`, true],
    "in the id": [`${event}id: 2`, false],
    "after the line of the id": [`${event}id: 2\n`, false],
    "in the data": [`${event}id: 2\ndata: te`, false],
    "after the first of an event's two line ends": [`${event}id: 2\ndata: text\n`, false],
    "within the second line end of an event": [`${event}id: 2\r\ndata: text\r\n`, false],
    "in a comment": [`${event}: still he`, false],
    "after a comment within an event": [`${event}id: 2\n:\n`, false],
    "after a field that belongs to the next event": [`${event}version: 3\n`, false],
};

describe("A stream of events", () => {
    for (const [name, [text, expected]] of Object.entries(ends)) {
        it(`${expected ? "may end" : "is not whole if it ends"} ${name}`, () =>
            expect(isWhole(text)).to.equal(expected));
    }

    it("is not whole if it ends in a character", () => {
        const bytes = Buffer.from("id: 1\ndata: €");
        expect(isWhole(bytes.subarray(0, -1))).to.equal(false);
    });

    it("is read the same in any pieces", () => {
        const texts = fc.array(fc.constantFrom(...Object.values(ends).map(([text]) => text)), { maxLength: 4 });
        fc.assert(
            fc.property(texts, fc.integer({ min: 1, max: 5 }), (parts, size) => {
                const bytes = Buffer.from(parts.join(""));
                const pieces = Array.from(
                    { length: Math.ceil(bytes.length / size) },
                    (unused, nth) => bytes.subarray(nth * size, (nth + 1) * size),
                );
                expect(isWhole(...pieces)).to.equal(isWhole(bytes));
            }),
            { seed: 60 },
        );
    });

    it("is recognised by its content type", () => {
        expect(eventFramingOf(["Content-Type", "text/event-stream; charset=utf-8"])).to.not.equal(undefined);
        expect(eventFramingOf(["x", "content-type", "content-type", "application/json"])).to.equal(undefined);
        expect(eventFramingOf(["x", "text/event-stream"])).to.equal(undefined);
    });
});
