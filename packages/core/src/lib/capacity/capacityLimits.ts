/** Thresholds of the capacity planner, as shares of the slots of a service's engines or of its price. */
export const capacityLimits = {
    /** Utilisation above which engines are ordered, and the one that is ordered for. */
    orderAbove: 0.75,
    orderTo: 0.68,
    /** Utilisation of the last 10 s below which engines are given back. */
    giveBackBelow: 0.45,
    /** Slots that remain after engines are given back, as a multiple of the present demand. */
    giveBackReserve: 1.3,
    /**
     * Utilisation after the worst loss of a zone that is ordered for and kept when engines are given back; engines are
     * ordered above 1.
     */
    afterLossTo: 0.92,
    /** Utilisation by the highest demand that the choice of cheaper engines aims at: between the two thresholds. */
    replaceTo: 0.6,
    /** Smallest saving, as a share of the present price, for which engines are replaced. */
    minSaving: 0.1,
    /** Share of the cheaper engines that must serve before dearer ones are given back for them. */
    minReplacedShare: 0.5,
    /**
     * Engines that cannot be reclaimed, as a share of those that the highest demand needs. Without any other engines they
     * still carry it: zones lose their reclaimable engines one after the other, and at times no zone has others to give.
     */
    minStandingShare: 1,
} as const;
