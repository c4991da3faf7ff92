/** A rank's engine in the model of a group, with what its agent knows. */

import type { GroupOrder, GroupOrderResult } from "@dandelionbank/types";

export interface GroupRank {
  readonly mapVersion: number;
  readonly preparedVersion: number;
  readonly armed: { readonly version: number; readonly step: number } | null;
  readonly heldStep: number | null;
  /** Highest term that the rank's agent knows. */
  readonly term: number;
  readonly orderedByRank: number | null;
}

/** Carries out an order as an engine does. */
export function carryOut(
  rank: GroupRank,
  order: GroupOrder,
  latestStep: number,
): { readonly changed: GroupRank; readonly result: GroupOrderResult } {
  const done = (change: Partial<GroupRank>) =>
    ({ changed: { ...rank, ...change }, result: "done" }) as const;
  const conflict = { changed: rank, result: "conflict" } as const;
  const { armed, heldStep, preparedVersion, mapVersion } = rank;
  switch (order.kind) {
    case "prepare":
    case "supersede": {
      if (order.version === preparedVersion) return done({});
      const isOld = order.version < preparedVersion;
      return isOld || armed !== null
        ? conflict
        : done({ preparedVersion: order.version });
    }
    case "arm": {
      const { version, step } = order;
      if (armed !== null) return armed.step === step ? done({}) : conflict;
      return preparedVersion !== version || step <= latestStep
        ? conflict
        : done({ armed: { version, step } });
    }
    case "hold":
      if (heldStep === order.step) return done({});
      return heldStep !== null || order.step <= latestStep
        ? conflict
        : done({ heldStep: order.step });
    case "release":
      return heldStep === order.step ? done({ heldStep: null }) : done({});
    case "disarm":
      if (mapVersion === order.version) return conflict;
      return armed?.version === order.version
        ? done({ armed: null })
        : done({});
  }
}
