/**
 * Ends a switch that an earlier coordinator left unfinished: a pass that is held,
 * or ranks that are armed.
 *
 * A successor cannot know whether the earlier coordinator was arming ranks or had
 * cancelled the hold, and orders of either kind may still be carried out. Arming
 * further ranks would race with a late order to release the pass, and releasing
 * the pass would race with a late order to arm. So, unless every rank is armed,
 * the switch is reverted: first every rank is given a new version of the map in
 * force, after which no order can arm it for the earlier switch, and only then is
 * the pass released. A pass is therefore released either with all ranks armed or
 * with none that can be, in whatever order the orders of several coordinators are
 * carried out.
 */

import type { RankReport } from "@dandelionbank/types";
import {
  chooseVersion,
  endSwitch,
  enterPhase,
  isGroupComplete,
  listRanks,
  releaseHolds,
  sendOrder,
  type SwitchContext,
} from "./switch_state.ts";
import type { PhaseOf } from "./types.ts";

/** Returns true if there is no unfinished switch to end first. */
export function endEarlierSwitch(
  context: SwitchContext,
  epoch: number,
): boolean {
  const { state } = context;
  const { reports, ownVersion } = state;
  if (!isGroupComplete(reports)) {
    releaseHoldOfMissingRank(context, epoch);
    return false;
  }
  if (!isUnfinished(reports)) return true;
  if (completeArmedSwitch(context, epoch)) return false;
  const hasBegun = reports.some(({ armedVersion }) =>
    armedVersion !== 0 &&
    reports.some(({ mapVersion }) => mapVersion === armedVersion)
  );
  // Some reports are from before the pass and some from after it.
  if (hasBegun) return false;
  const isReverted = reports.every((report) =>
    isSupersededBy(report, ownVersion)
  );
  if (isReverted) {
    releaseHolds(context, { epoch });
    return false;
  }
  beginReverting(context, { epoch, map: undefined });
  return false;
}

/** Chooses another version if a rank has refused the one before. */
export function replaceRefusedVersion(context: SwitchContext): void {
  const { phase } = context.state;
  if (phase.name !== "reverting" || !phase.isRefused) return;
  beginReverting(context, phase);
}

function beginReverting(
  context: SwitchContext,
  { epoch, map }: Pick<PhaseOf<"reverting">, "epoch" | "map">,
): void {
  const version = chooseVersion(context.state);
  const name = "reverting";
  enterPhase(context, { name, version, epoch, map, isRefused: false });
}

/** Reverts the switch of an earlier coordinator. */
export function revertSwitch(
  context: SwitchContext,
  { version, epoch, map, isRefused }: PhaseOf<"reverting">,
): void {
  const { reports } = context.state;
  if (!isGroupComplete(reports)) return;
  if (!isUnfinished(reports)) return endSwitch(context, "abandoned");
  if (completeArmedSwitch(context, epoch)) return;
  // The next reports show whether a rank that refused is armed.
  if (map === undefined || isRefused) return;
  const superseded = reports.filter((report) =>
    isSupersededBy(report, version)
  );
  for (const report of reports) {
    const { rank, armedVersion } = report;
    const common = { rank, epoch, mayBypassAgent: true };
    if (armedVersion === 0) {
      if (superseded.includes(report)) continue;
      const order = { kind: "supersede", version, map } as const;
      sendOrder(context, { ...common, order });
    } else if (superseded.length > 0) {
      // While every rank can be armed, the earlier coordinator may release the
      // pass, relying on this rank.
      const order = { kind: "disarm", version: armedVersion } as const;
      sendOrder(context, { ...common, order });
    }
  }
  if (superseded.length === reports.length) releaseHolds(context, { epoch });
}

/** Releases the pass if every rank is armed; returns whether that is so. */
function completeArmedSwitch(context: SwitchContext, epoch: number): boolean {
  const { reports } = context.state;
  const version = reports[0]?.armedVersion ?? 0;
  const isArmed = version !== 0 &&
    reports.every(({ armedVersion }) => armedVersion === version);
  if (!isArmed) return false;
  enterPhase(context, { name: "settling", version, epoch, step: undefined });
  return true;
}

function isUnfinished(reports: readonly RankReport[]): boolean {
  return reports.some(({ heldStep, armedVersion }) =>
    heldStep !== undefined || armedVersion !== 0
  );
}

/** Whether the rank can't be armed with any version before this one. */
function isSupersededBy(
  { mapVersion, preparedVersion, armedVersion }: RankReport,
  version: number,
): boolean {
  return armedVersion === 0 &&
    Math.max(mapVersion, preparedVersion) === version;
}

/**
 * Releases a pass held by a coordinator that is frozen together with its own
 * rank. A coordinator arms its own rank last, so if no other rank is armed or
 * can be armed by a late order, none is, and the pass may begin.
 */
function releaseHoldOfMissingRank(context: SwitchContext, epoch: number): void {
  const { reports, agentOrders, groupSize } = context.state;
  if (reports.length !== groupSize - 1) return;
  const present = new Set(reports.map(({ rank }) => rank));
  const missing = listRanks(groupSize).find((rank) => !present.has(rank));
  const areOthersUnarmed = reports.every((report) => {
    const orders = agentOrders.get(report.rank);
    return report.epoch === epoch && report.isOpen &&
      report.armedVersion === 0 && orders !== undefined &&
      !orders.mayArmLate && orders.orderedByRank === missing;
  });
  if (areOthersUnarmed) releaseHolds(context, { epoch });
}
