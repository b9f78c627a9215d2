/** Tests of which answers on a connection could be confused. */

import { expect } from "chai";
import { AnswerHistory } from "./AnswerHistory.js";

describe("The answers on a connection", () => {
    it("make only answers with the same id ambiguous, or others without one", () => {
        const history = new AnswerHistory();
        history.record("a");
        expect([history.isAmbiguous("a"), history.isAmbiguous("b"), history.isAmbiguous(undefined)])
            .to.deep.equal([true, false, false]);
        history.record(undefined);
        expect(history.isAmbiguous(undefined)).to.equal(true);
    });

    it("are forgotten from the oldest on, of those that are not repeated", () => {
        const history = new AnswerHistory();
        for (let nth = 0; nth < 1000; nth++) {
            history.record("repeated");
            history.record(`id-${nth}`);
        }
        const known = Array.from({ length: 1000 }, (unused, nth) => history.isAmbiguous(`id-${nth}`));
        expect([known[0], known[998], history.isAmbiguous("repeated")]).to.deep.equal([false, true, true]);
    });
});
