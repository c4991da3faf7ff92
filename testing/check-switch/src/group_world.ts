/** States of a group of ranks and its coordinators, and their changes. */

import type { SwitchState } from "@dandelionbank/switch-group";
import type {
  GroupOrder,
  OrderForwardingState,
  RankReport,
} from "@dandelionbank/types";
import { createHash } from "node:crypto";
import type { GroupRank } from "./group_rank.ts";

/** An order on its way to an agent, or on its way to an engine. */
export interface SentOrder {
  readonly rank: number;
  readonly at: "agent" | "engine";
  /** Whether the rank's agent passed it on, and so knows of it. */
  readonly isForwarded: boolean;
  readonly coordinator: number;
  readonly order: GroupOrder;
}

/** The answers to one round of polls. */
export interface PollResult {
  readonly reports: readonly RankReport[];
  readonly silentRank: number | null;
  readonly agentOrders: readonly (readonly [number, OrderForwardingState])[];
  readonly phase: string;
}

export interface GroupCoordinator {
  readonly state: SwitchState;
  readonly polled: PollResult | null;
  readonly isLeading: boolean;
  readonly hasPlan: boolean;
}

export interface GroupWorld {
  readonly step: number;
  readonly ranks: readonly GroupRank[];
  readonly network: readonly SentOrder[];
  /** In the order of their terms; the rank of each is its index. */
  readonly coordinators: readonly GroupCoordinator[];
  readonly faultsLeft: number;
}

/** Begins the next pass; undefined if a rank holds it. */
export function beginNextPass(world: GroupWorld): GroupWorld | undefined {
  const step = world.step + 1;
  if (world.ranks.some(({ heldStep }) => heldStep === step)) return undefined;
  const ranks = world.ranks.map((rank) =>
    rank.armed?.step === step
      ? { ...rank, mapVersion: rank.armed.version, armed: null }
      : rank
  );
  return { ...world, step, ranks };
}

export function changeCoordinator(
  world: GroupWorld,
  index: number,
  change: Partial<GroupCoordinator>,
): GroupWorld {
  const coordinator = { ...world.coordinators[index]!, ...change };
  const coordinators = world.coordinators.with(index, coordinator);
  return { ...world, coordinators };
}

/** Adds an order unless an equal one is on its way. */
export function addOrder(world: GroupWorld, sent: SentOrder): GroupWorld {
  const key = JSON.stringify(sent);
  const isKnown = world.network.some((other) => JSON.stringify(other) === key);
  return isKnown ? world : { ...world, network: [...world.network, sent] };
}

/** Digest that is equal for equal worlds. */
export function createGroupKey(world: GroupWorld): string {
  const network = world.network.map((sent) => JSON.stringify(sent)).sort();
  const coordinators = world.coordinators.map(({ state, ...rest }) => ({
    ...rest,
    state: { ...state, sentAtMs: undefined, options: undefined },
  }));
  const text = JSON.stringify(
    { ...world, network, coordinators },
    (_, value) =>
      value instanceof Set || value instanceof Map ? [...value].sort() : value,
  );
  return createHash("sha1").update(text).digest("base64");
}
