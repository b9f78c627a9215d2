/** Runs an action periodically, with jitter from the seeded random source, until it is stopped. */

import { after } from "@tamarackpath/core";
import { type Context } from "../Context.js";

const jitterShare = 0.2;

/** Runs `action` at once and then about every `intervalMs`, and returns a function that stops it. */
export function repeat(ctx: Context, intervalMs: number, action: () => Promise<void> | void): () => void {
    let stopped = false;
    let cancel: () => void = () => undefined;
    const schedule = (waitMs: number): void => {
        cancel = ctx.clock.callAt(after(ctx.clock.now(), waitMs), () => void run());
    };
    const run = async (): Promise<void> => {
        try {
            await action();
        }
        catch (err) {
            ctx.log("repeat").error("A periodic action failed.", { err: String(err) });
        }
        if (!stopped) {
            schedule(intervalMs * (1 + jitterShare * (ctx.random() - 0.5)));
        }
    };
    schedule(0);
    return () => {
        stopped = true;
        cancel();
    };
}
