/** Tests of the parts of a response that one host takes from another. */

import { type ForwardOutcome, type RelayStep, type ResponseHead } from "@tamarackpath/core";
import { expect } from "chai";
import { RelaySession } from "./RelaySession.js";
import { createSteppingClock, settle } from "./steppingClock.test.js";

const head: ResponseHead = { status: 200, signature: "s", headers: [] };
const streamed: ForwardOutcome = { kind: "streamed" };

function textOf({ chunks }: RelayStep): string {
    return Buffer.concat([...chunks]).toString();
}

describe("RelaySession", () => {
    it("hands each part over once and in order, and waits for the next one", async () => {
        let ends = 0;
        const session = new RelaySession(createSteppingClock(0.1), () => ends++);
        const first = session.take();
        session.onHead(head);
        expect(await first).to.deep.equal({ head, chunks: [], outcome: undefined });
        void session.onChunk(Buffer.from("a"));
        void session.onChunk(Buffer.from("b"));
        expect(textOf(await session.take())).to.equal("ab");
        const last = session.take();
        void session.onChunk(Buffer.from("c"));
        expect(textOf(await last)).to.equal("c");
        session.finish(streamed);
        expect(ends).to.equal(0);
        expect((await session.take()).outcome).to.deep.equal(streamed);
        expect(ends).to.equal(1);
    });

    it("stops reading a stream that the other host does not take, and ends it after some time", async () => {
        const clock = createSteppingClock(0.1);
        let hasEnded = false;
        const session = new RelaySession(clock, () => {
            hasEnded = true;
        });
        session.onHead(head);
        await session.take();
        let isRead = false;
        void session.onChunk(new Uint8Array(300_000)).then(() => {
            isRead = true;
        });
        await settle();
        expect([isRead, session.signal.aborted]).to.deep.equal([false, false]);
        await clock.advance(3100);
        expect([isRead, session.signal.aborted, hasEnded]).to.deep.equal([true, true, true]);
    });

    // Guards against a host that learns only by a broken link, or not before its deadline, that its request goes nowhere.
    it("tells the other host that its request may have run when this host stops", async () => {
        const session = new RelaySession(createSteppingClock(0.1), () => undefined);
        const step = session.take();
        session.end("The host is stopping.");
        session.finish({ kind: "cancelled" });
        expect((await step).outcome).to.deep.equal({ kind: "unknown", detail: "The host is stopping." });
        expect(session.signal.aborted).to.equal(true);
    });

    it("does not end a request whose target takes long, while the other host waits for it", async () => {
        const clock = createSteppingClock(0.1);
        const session = new RelaySession(clock, () => undefined);
        const step = session.take();
        await clock.advance(10_000);
        session.finish({ kind: "unknown", detail: "late" });
        expect((await step).outcome).to.deep.equal({ kind: "unknown", detail: "late" });
        expect(session.signal.aborted).to.equal(false);
    });
});
