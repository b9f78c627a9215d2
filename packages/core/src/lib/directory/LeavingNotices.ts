/**
 * The targets that said in an answer that they are leaving. Load pattern: a target is about to stop while its entry in the
 * store lags, is stale or cannot be read. A notice holds for one incarnation, whatever the entries say, and ends only
 * with it: a target that has started again serves at once.
 */

import { type Incarnation, type Instant, type TargetId } from "../ids.js";

/** That an incarnation of a target is leaving. */
export interface LeavingNotice {
    readonly incarnation: Incarnation;
    /** Until when requests may still be sent to it, if no other target is there. */
    readonly servesUntil: Instant;
}

/** Maximum number of notices; the oldest is removed first. */
const maxNotices = 10_000;

/** The notices that one host has got. */
export class LeavingNotices {
    private readonly notices = new Map<TargetId, LeavingNotice>();

    /** The notice of this incarnation, or undefined if there is none. */
    get(target: TargetId, incarnation: Incarnation): LeavingNotice | undefined {
        const notice = this.notices.get(target);
        return notice?.incarnation === incarnation ? notice : undefined;
    }

    /** Records a notice; false when this incarnation, or a later one, has given one already. */
    record(target: TargetId, notice: LeavingNotice): boolean {
        const known = this.notices.get(target);
        if (known !== undefined && known.incarnation >= notice.incarnation) {
            return false;
        }
        this.notices.delete(target);
        this.notices.set(target, notice);
        if (this.notices.size > maxNotices) {
            this.notices.delete(this.notices.keys().next().value!);
        }
        return true;
    }
}
