/** Tests of how engines are divided among trainers whose steps hold unlike amounts of work. */

import { expect } from "chai";
import { asId, type TargetId } from "../ids.js";
import { type AssignableEngine, ModelShares } from "./ModelShares.js";

/** Expected tokens of a step: two trainers of a site with 34 engines, 176 short samples and 184 long ones. */
const stepWork: Readonly<Record<string, number>> = { quote: 176 * 490, price: 184 * 1176 };

function engineFixtures(count: number, changes: Partial<AssignableEngine> = {}): readonly AssignableEngine[] {
    return Array.from({ length: count }, (unused, nth) => ({
        target: asId<TargetId>(`e${nth}`),
        running: nth,
        versionsBehind: () => 0,
        ...changes,
    }));
}

function countsOf(shares: ModelShares, engines: readonly AssignableEngine[]): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const { target } of engines) {
        const model = shares.modelOf(target)!;
        counts[model] = (counts[model] ?? 0) + 1;
    }
    return counts;
}

describe("ModelShares", () => {
    const models = ["price", "quote"];
    const workOf = (model: string): number | undefined => stepWork[model];

    it("divides engines evenly until the work of steps is known", () => {
        const shares = new ModelShares();
        const engines = engineFixtures(34);
        shares.update(models, engines, () => undefined);
        expect(countsOf(shares, engines)).to.deep.equal({ price: 17, quote: 17 });
    });

    it("moves one engine a call until the shares follow the square root of the work, and then none", () => {
        const shares = new ModelShares();
        const engines = engineFixtures(34);
        shares.update(models, engines, () => undefined);
        shares.update(models, engines, workOf);
        expect(countsOf(shares, engines)).to.deep.equal({ price: 18, quote: 16 });
        for (let nth = 0; nth < 20; nth++) {
            shares.update(models, engines, workOf);
        }
        expect(countsOf(shares, engines)).to.deep.equal({ price: 21, quote: 13 });
    });

    it("keeps the assignment while the work of steps varies by a tenth", () => {
        const shares = new ModelShares();
        const engines = engineFixtures(34);
        for (let nth = 0; nth < 20; nth++) {
            shares.update(models, engines, workOf);
        }
        const before = engines.map(({ target }) => shares.modelOf(target));
        for (let nth = 0; nth < 20; nth++) {
            shares.update(models, engines, model => workOf(model)! * (nth % 2 === 0 ? 1.1 : 0.9));
            shares.update(models, engines, model => workOf(model)! * (model === "price" ? 1.1 : 0.95));
        }
        expect(engines.map(({ target }) => shares.modelOf(target))).to.deep.equal(before);
    });

    it("leaves each model one engine, and counts a model without steps as an average one", () => {
        const shares = new ModelShares();
        const engines = engineFixtures(4);
        for (let nth = 0; nth < 10; nth++) {
            shares.update(["a", "b"], engines, model => model === "a" ? 1 : 1e9);
        }
        expect(countsOf(shares, engines)).to.deep.equal({ a: 1, b: 3 });
        const others = new ModelShares();
        others.update(["a", "b"], engines, model => model === "a" ? 5 : undefined);
        expect(countsOf(others, engines)).to.deep.equal({ a: 2, b: 2 });
    });

    it("takes over the assignment that the engines' versions show", () => {
        const shares = new ModelShares();
        const engines = engineFixtures(6).map((engine, nth) => ({
            ...engine,
            versionsBehind: (model: string) => (model === "price") === nth < 4 ? 0 : 4,
        }));
        shares.update(models, engines, () => undefined);
        expect(engines.map(({ target }) => shares.modelOf(target))).to.deep.equal([
            "price",
            "price",
            "price",
            "price",
            "quote",
            "quote",
        ]);
    });
});
