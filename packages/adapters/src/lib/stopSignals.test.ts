/** Tests that any number of stop signals begin one stop, and that only a second SIGINT ends it early. */

import { expect } from "chai";
import { EventEmitter } from "node:events";
import { handleStopSignals, type StopSignal } from "./stopSignals.js";

/** What a process does at `signals`, in their order. */
function actionsAt(signals: readonly StopSignal[]): readonly string[] {
    const actions: string[] = [];
    const source = new EventEmitter();
    handleStopSignals({
        stop: signal => actions.push(`stop ${signal}`),
        onRepeated: signal => actions.push(`repeated ${signal}`),
        cut: () => actions.push("cut"),
    }, source);
    signals.forEach(signal => source.emit(signal));
    return actions;
}

describe("handleStopSignals", () => {
    it("begins one stop, however often SIGTERM comes", () => {
        expect(actionsAt(["SIGTERM", "SIGTERM", "SIGTERM"]))
            .to.deep.equal(["stop SIGTERM", "repeated SIGTERM", "repeated SIGTERM"]);
    });

    it("ends the stop early at the second SIGINT, whatever comes between", () => {
        expect(actionsAt(["SIGINT", "SIGTERM", "SIGINT"])).to.deep.equal(["stop SIGINT", "repeated SIGTERM", "cut"]);
    });

    it("takes one SIGINT during a stop for a repeated request", () => {
        expect(actionsAt(["SIGTERM", "SIGINT"])).to.deep.equal(["stop SIGTERM", "repeated SIGINT"]);
    });
});
