/** Applies the result of an order to the phase that sent it. */

import {
  allowImmediateResend,
  beginConfirming,
  endSwitch,
  enterPhase,
  type SwitchContext,
} from "./switch_state.ts";
import type { OrderEnded } from "./types.ts";

export function applyOrderResult(
  context: SwitchContext,
  event: OrderEnded,
): void {
  const { state } = context;
  const { rank, order, epoch, result } = event;
  const { phase } = state;
  if (result === "lost") return allowImmediateResend(state, { order, rank });
  if (phase.name === "idle") return;
  if (phase.epoch !== epoch) return;
  const isDone = result === "done";
  switch (order.kind) {
    case "prepare":
      if (phase.name !== "preparing" || phase.version !== order.version) return;
      // The rank has already had a higher version, or has no room for this map.
      if (!isDone) return endSwitch(context, "abandoned");
      state.accepted.add(rank);
      return;
    case "hold":
      if (phase.name !== "holding" || phase.step !== order.step) return;
      // After a conflict the next reports show its cause.
      if (!isDone) return;
      beginConfirming(context, phase);
      return;
    case "arm":
      if (phase.name !== "arming" || phase.step !== order.step) return;
      if (!isDone) return;
      state.phase = { ...phase, armed: new Set([...phase.armed, rank]) };
      return;
    case "release": {
      if (phase.name !== "releasing" || phase.step !== order.step) return;
      if (!isDone) return;
      const { version, step } = phase;
      enterPhase(context, { name: "settling", version, epoch, step });
      return;
    }
    case "supersede":
      if (phase.name !== "reverting" || phase.version !== order.version) return;
      if (!isDone) state.phase = { ...phase, isRefused: true };
      return;
    case "disarm":
      // The next reports show the effect.
      return;
  }
}
