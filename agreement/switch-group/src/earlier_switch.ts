/**
 * Completes a switch that an earlier coordinator left unfinished: a pass that is
 * held, or ranks that are armed.
 */

import type { RankReport } from "@dandelionbank/types";
import {
  enterPhase,
  isGroupComplete,
  listRanks,
  releaseHolds,
  sendRelease,
  type SwitchContext,
} from "./switch_state.ts";

/** Returns true if there is no unfinished switch to complete first. */
export function completeEarlierSwitch(
  context: SwitchContext,
  epoch: number,
): boolean {
  const { reports } = context.state;
  if (!isGroupComplete(reports)) {
    releaseHoldOfMissingRank(context, epoch);
    return false;
  }
  const armed = reports.find(({ armedVersion }) => armedVersion !== 0);
  const held = reports.find(({ heldStep }) => heldStep !== undefined);
  if (held !== undefined) {
    completeOrReleaseHold(context, { held, armed, epoch });
    return false;
  }
  if (armed === undefined) return true;
  const version = armed.armedVersion;
  enterPhase(context, { name: "settling", version, epoch, step: undefined });
  return false;
}

/**
 * Handles a hold that does not belong to a switch of this coordinator. If a
 * prepared version may have been armed for the held pass, even by an order that
 * is still in flight, the switch is completed; otherwise the pass is released.
 * An earlier coordinator may have cancelled the hold, and its order to release
 * may still arrive, so no rank is armed for a pass for which none can be yet.
 */
function completeOrReleaseHold(
  context: SwitchContext,
  { held, armed, epoch }: {
    readonly held: RankReport;
    readonly armed: RankReport | undefined;
    readonly epoch: number;
  },
): void {
  const step = held.heldStep as number;
  const version = armed?.armedVersion ?? held.preparedVersion;
  const { reports, agentOrders } = context.state;
  const isPrepared = reports.every((report) =>
    report.preparedVersion === version || report.armedVersion === version
  );
  const mayArmLate = reports.some(({ rank }) =>
    agentOrders.get(rank)?.mayArmLate ?? true
  );
  const mayBeArmed = version > held.mapVersion && isPrepared &&
    (armed !== undefined || mayArmLate);
  if (!mayBeArmed) {
    sendRelease(context, { rank: held.rank, step, epoch });
    return;
  }
  enterPhase(context, {
    name: "arming",
    version,
    epoch,
    step,
    holder: held.rank,
    armed: new Set(),
  });
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
