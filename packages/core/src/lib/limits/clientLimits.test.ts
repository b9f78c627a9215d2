/** Tests of the limits that follow from a host's memory and descriptors, and of the count of JSON members. */

import { expect } from "chai";
import fc from "fast-check";
import { deriveClientLimits } from "./clientLimits.js";
import { countJsonMembers, maxJsonMembers } from "./countJsonMembers.js";

const mebibyte = 1024 * 1024;

describe("deriveClientLimits", () => {
    // Guards against limits that together exceed the smallest host.
    it("stays within the memory and the descriptors of the host", () => {
        for (const [megabytes, descriptors] of [[210, 2212], [370, 4096], [602, 10_250]] as const) {
            const limits = deriveClientLimits(megabytes * mebibyte, descriptors);
            const buffers = limits.requests.maxBytes + limits.answers.maxBytes;
            expect(buffers).to.be.below((megabytes - 160) * mebibyte);
            expect(limits.maxCallerConnections + 2 * limits.maxProbeConnections).to.be.below(0.7 * descriptors);
            expect(limits.maxCallerConnections).to.be.at.least(1000);
        }
    });
});

describe("countJsonMembers", () => {
    it("counts the elements and fields that JSON.parse finds, and no characters of strings", () => {
        const membersOf = (value: unknown): number =>
            typeof value !== "object" || value === null
                ? 0
                : Math.max(1, Object.keys(value).length)
                    + Object.values(value).reduce<number>((sum, inner) => sum + membersOf(inner), 0);
        fc.assert(
            fc.property(fc.jsonValue(), value => {
                const text = Buffer.from(JSON.stringify(value));
                expect(countJsonMembers(text, Number.MAX_SAFE_INTEGER)).to.equal(membersOf(value));
            }),
        );
    });

    // Guards against bodies of legal size whose parsing takes many times their size.
    it("stops just above its limit", () => {
        expect(countJsonMembers(Buffer.from(`[${"0,".repeat(500_000)}0]`), maxJsonMembers)).to.equal(
            maxJsonMembers + 1,
        );
    });
});
