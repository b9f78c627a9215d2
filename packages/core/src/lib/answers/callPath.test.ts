/** Tests of call paths: no spelling leaves the service or bypasses the list of calls that must not be repeated. */

import { expect } from "chai";
import fc from "fast-check";
import { matchesCall, parseCallPath } from "./callPath.js";

const rules = ["POST /orders", "POST /sections/*/grind"];

function isCovered(raw: string, method = "POST"): boolean | "refused" {
    return parseCallPath(raw).caseOf<boolean | "refused">({
        Left: () => "refused",
        Right: ({ path }) => matchesCall(rules, method, path),
    });
}

describe("call paths", () => {
    const coveredPaths = [
        "/orders",
        "/orders/",
        "/ORDERS",
        "/%6frders",
        "/%4Frders",
        "/orders;v=1",
        "/orders?x=1",
        "/orders%3Bv=1",
        "/sections/7/grind",
        "/sections/a%20b/GRIND/",
    ];
    for (const raw of coveredPaths) {
        it(`covers ${raw}`, () => {
            expect(isCovered(raw)).to.equal(true);
        });
    }
    const refused = [
        "",
        "orders",
        "//orders",
        "/orders//",
        "/orders/../orders",
        "/quotes/../orders",
        "/quotes/%2e%2E/orders",
        "/quotes/..;x/orders",
        "/./orders",
        "/quotes%2f..%2forders",
        "/quotes\\..\\orders",
        "/quotes%5corders",
        "/orders%00",
        "/%256frders",
        "/orders#x",
        "/orders%zz",
        "/orders?a b",
        "/órders",
        `/${"a".repeat(5000)}`,
    ];
    for (const raw of refused) {
        it(`refuses ${raw.slice(0, 40) || "an empty path"}`, () => {
            expect(isCovered(raw)).to.equal("refused");
        });
    }

    it("does not change or cover other calls", () => {
        expect(isCovered("/quotes/gravel?echo=1")).to.equal(false);
        expect(isCovered("/orders", "GET")).to.equal(false);
        expect(isCovered("/orders/7")).to.equal(false);
        expect(parseCallPath("/a/b%20c?d=%2F").unsafeCoerce()).to.deep.equal({ path: "/a/b%20c", query: "?d=%2F" });
    });

    it("returns a path that a URL parser does not change, for any input", () => {
        fc.assert(
            fc.property(fc.array(fc.constantFrom(..."/.%2eEfF5cC\\oO;?#& \u0000é".split(""))), letters => {
                parseCallPath(`/${letters.join("")}`).ifRight(({ path, query }) => {
                    const url = new URL(`http://target${path}${query}`);
                    expect(url.pathname).to.equal(path);
                });
            }),
            { seed: 7, numRuns: 2000 },
        );
    });
});
