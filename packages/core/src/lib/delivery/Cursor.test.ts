import { expect } from "chai";
import fc from "fast-check";
import { type WeightVersion } from "../ids.js";
import { type Cursor, cursorHost, decodeCursor, encodeCursor, type StepIdentity } from "./Cursor.js";
import { addIndex, emptySet } from "./SampleSet.js";

const seed = 7;

function createIdentity(sampleCount: number): StepIdentity {
    return { stepKey: "rollouts/trainer/s1", fingerprint: 77, sampleCount };
}

function createCursor(sampleCount: number, indices: readonly number[]): Cursor {
    const taken = emptySet(sampleCount);
    indices.forEach(index => addIndex(taken, index));
    const batch = new Set(indices).size === 0 ? 0 : 1;
    return { epoch: { number: 2, owner: "leon-1.1234" }, batch, version: 5 as WeightVersion, taken };
}

const cursors = fc.integer({ min: 1, max: 400 }).chain(sampleCount =>
    fc.array(fc.nat({ max: sampleCount - 1 })).map(indices => ({ sampleCount, indices }))
);

describe("Cursor", () => {
    it("decodes what it encoded, for any set of samples", () => {
        fc.assert(
            fc.property(cursors, ({ sampleCount, indices }) => {
                const identity = createIdentity(sampleCount);
                const cursor = createCursor(sampleCount, indices);
                const read = decodeCursor(encodeCursor(cursor, identity), identity).unsafeCoerce();
                expect(read).to.deep.equal(cursor);
            }),
            { seed },
        );
    });

    it("rejects a cursor with any single character changed or any tail cut off", () => {
        const identity = createIdentity(64);
        const text = encodeCursor(createCursor(64, [1, 2, 3, 40]), identity);
        for (let place = 0; place < text.length; place++) {
            const other = text[place] === "A" ? "B" : "A";
            const damaged = text.slice(0, place) + other + text.slice(place + 1);
            const res = decodeCursor(damaged, identity);
            const isSame = Buffer.from(damaged, "base64url").equals(Buffer.from(text, "base64url"));
            expect(res.isLeft() || isSame, `character ${place}`).to.equal(true);
            expect(decodeCursor(text.slice(0, place), identity).isLeft(), `cut at ${place}`).to.equal(true);
        }
    });

    it("is bound to the step, its contents and its size", () => {
        const identity = createIdentity(64);
        const text = encodeCursor(createCursor(64, [1]), identity);
        const others = [{ stepKey: "rollouts/other/s1" }, { fingerprint: 78 }, { sampleCount: 72 }, { sampleCount: 9 }];
        for (const other of others) {
            const finding = decodeCursor(text, { ...identity, ...other }).swap().unsafeCoerce();
            expect(finding.place).to.equal("cursor");
        }
    });

    it("is short: runs of samples take few characters, and no set takes more than its bitmap", () => {
        const sampleCount = 8192;
        const identity = createIdentity(sampleCount);
        const half = Array.from({ length: sampleCount / 2 }, (unused, nth) => nth);
        const odd = half.map(nth => 2 * nth + 1);
        expect(encodeCursor(createCursor(sampleCount, half), identity).length).to.be.below(200);
        expect(encodeCursor(createCursor(sampleCount, odd), identity).length).to.be.below(2000);
    });

    it("returns the host that issued it", () => {
        expect(cursorHost(encodeCursor(createCursor(8, [1]), createIdentity(8)))).to.equal("leon-1");
        expect(cursorHost("no cursor")).to.equal(undefined);
    });
});
