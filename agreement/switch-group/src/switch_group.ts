/**
 * The coordinator's part of a switch. All ranks of a group begin each pass
 * together, and a pass with two maps must never begin:
 *
 * 1. Every rank prepares the version, which alone changes nothing.
 * 2. One rank holds a coming pass, so that the group cannot begin it.
 * 3. Every rank is armed to switch as that pass begins.
 * 4. The hold is released once every rank is armed.
 *
 * From the hold on the switch only goes forward. An order without an answer is
 * repeated, because it may be carried out at any time later: giving up could
 * leave a rank that is armed all the same. A group that forms anew has lost all
 * orders, and every order names the epoch that it was meant for.
 *
 * The core holds nothing that a successor needs: what it finds prepared, held
 * or armed, it completes.
 */

import type {
  AgentWord,
  ExpertMap,
  GroupOrder,
  RankReport,
  Step,
} from "@dandelionbank/types";
import type { Phase, SwitchEffect, SwitchEvent } from "./types.ts";

export interface SwitchOptions {
  /** The coordinator's own rank, which holds nothing and is armed last. */
  readonly ownRank: number;
  /** Versions of this coordinator are at least this high. */
  readonly firstVersion: number;
}

/** Opaque; changed in place. */
export interface SwitchState {
  readonly options: SwitchOptions;
  phase: Phase;
  reports: readonly RankReport[];
  /** True if all agents follow this coordinator and no other. */
  isPromised: boolean;
  words: ReadonlyMap<number, AgentWord>;
  groupSize: number;
  plan: ExpertMap | undefined;
  /** When each order was sent last, by rank and kind. */
  readonly sentAtMs: Map<string, number>;
}

/** An order without an answer is sent again after this time. */
const REPEAT_MS = 80;
/** A prepared version that takes longer to copy is given up. */
const PREPARE_TIMEOUT_MS = 8_000;
/** Passes between the newest report and the one held: room for the orders. */
const STEP_LEAD = 2;

interface SentOrder {
  readonly rank: number;
  readonly order: GroupOrder;
  readonly epoch: number;
  readonly isForward: boolean;
  readonly isDirect?: boolean;
}

interface Context {
  readonly state: SwitchState;
  readonly nowMs: number;
  readonly effects: SwitchEffect[];
}

export function createSwitch(options: SwitchOptions): SwitchState {
  return {
    options,
    phase: { name: "idle" },
    reports: [],
    isPromised: false,
    words: new Map(),
    groupSize: 0,
    plan: undefined,
    sentAtMs: new Map(),
  };
}

export function stepSwitch(
  state: SwitchState,
  event: SwitchEvent,
  nowMs: number,
): Step<SwitchState, SwitchEffect> {
  const context: Context = { state, nowMs, effects: [] };
  switch (event.type) {
    case "reported":
      state.reports = event.reports;
      state.isPromised = event.isPromised;
      state.words = event.words;
      state.groupSize = event.reports[0]?.groupSize ?? state.groupSize;
      advance(context);
      break;
    case "planned":
      if (state.phase.name === "idle") state.plan = event.map;
      advance(context);
      break;
    case "orderEnded":
      takeResult(context, event);
      advance(context);
      break;
  }
  return { state, effects: context.effects };
}

/** True while a plan could be carried out. */
export function isIdle({ phase, reports, isPromised }: SwitchState): boolean {
  return phase.name === "idle" && isPromised && isWhole(reports);
}

/** True while ranks that no agent reports for have to be read past them. */
export function needsAllRanks({ phase, reports }: SwitchState): boolean {
  const isHeld = reports.some(({ heldStep }) => heldStep !== undefined);
  const isBegun = phase.name !== "idle" && phase.name !== "preparing";
  return isHeld || isBegun;
}

/** True if every rank is there, in the same epoch, and open. */
function isWhole(reports: readonly RankReport[]): boolean {
  const [first] = reports;
  return first !== undefined && reports.length === first.groupSize &&
    reports.every(({ epoch, isOpen }) => isOpen && epoch === first.epoch);
}

/** Goes on until the phase stays as it is. */
function advance(context: Context): void {
  const { state } = context;
  const epoch = Math.max(0, ...state.reports.map((report) => report.epoch));
  const { phase } = state;
  if (phase.name !== "idle" && phase.epoch < epoch) abandon(context);
  for (;;) {
    const before = state.phase;
    advanceOnce(context, epoch);
    if (state.phase === before) return;
    tellPhase(context);
  }
}

function advanceOnce(context: Context, epoch: number): void {
  const { phase } = context.state;
  switch (phase.name) {
    case "idle":
      return begin(context, epoch);
    case "preparing":
      return prepare(context, phase);
    case "holding":
      return hold(context, phase);
    case "arming":
      return arm(context, phase);
    case "releasing":
      return release(context, phase);
    case "settling":
      return settle(context, phase);
  }
}

type PhaseOf<Name extends Phase["name"]> = Extract<
  Phase,
  { readonly name: Name }
>;

/** Completes what an earlier coordinator left, or begins a plan. */
function begin(context: Context, epoch: number): void {
  const { state, nowMs } = context;
  const { reports } = state;
  if (!isWhole(reports)) return releaseAbandoned(context, epoch);
  const held = reports.find(({ heldStep }) => heldStep !== undefined);
  const armed = reports.find(({ armedVersion }) => armedVersion !== 0);
  if (held !== undefined) {
    return takeOverHold(context, { held, armed, epoch });
  }
  if (armed !== undefined) {
    const version = armed.armedVersion;
    state.phase = {
      name: "settling",
      version,
      epoch,
      step: undefined,
      sinceMs: nowMs,
    };
    return;
  }
  const { plan } = state;
  if (plan === undefined || !state.isPromised) return;
  state.plan = undefined;
  const version = Math.max(
    state.options.firstVersion,
    1 + Math.max(...reports.map(highestVersion)),
  );
  state.sentAtMs.clear();
  state.phase = {
    name: "preparing",
    version,
    epoch,
    map: plan,
    sinceMs: nowMs,
  };
}

/**
 * A pass held by a coordinator that is frozen with its own rank. It arms that
 * rank last, so while no other is armed or may be armed late, nobody is, and
 * the pass may begin.
 */
function releaseAbandoned(context: Context, epoch: number): void {
  const { reports, words, groupSize } = context.state;
  if (reports.length !== groupSize - 1) return;
  const present = new Set(reports.map(({ rank }) => rank));
  const missing = Array.from({ length: groupSize }, (_, rank) => rank)
    .find((rank) => !present.has(rank));
  const isUnarmed = reports.every((report) => {
    const word = words.get(report.rank);
    return report.epoch === epoch && report.isOpen &&
      report.armedVersion === 0 && word !== undefined && !word.mayArmLate &&
      word.orderedByRank === missing;
  });
  if (!isUnarmed) return;
  for (const { rank, heldStep } of reports) {
    if (heldStep === undefined) continue;
    const order: GroupOrder = { kind: "release", step: heldStep };
    send(context, { rank, order, epoch, isForward: true });
  }
}

/**
 * A hold that no switch of this coordinator owns. If a prepared version may
 * have been armed for that pass, even by an order that is still on its way, the
 * switch is completed; otherwise the pass is let go.
 */
function takeOverHold(
  context: Context,
  { held, armed, epoch }: {
    readonly held: RankReport;
    readonly armed: RankReport | undefined;
    readonly epoch: number;
  },
): void {
  const { state, nowMs } = context;
  const step = held.heldStep as number;
  const version = armed?.armedVersion ?? held.preparedVersion;
  const mayBeArmed = version > held.mapVersion &&
    state.reports.every((report) =>
      report.preparedVersion === version || report.armedVersion === version
    );
  if (!mayBeArmed) {
    send(context, {
      rank: held.rank,
      order: { kind: "release", step },
      epoch,
      isForward: true,
    });
    return;
  }
  state.phase = {
    name: "arming",
    version,
    epoch,
    step,
    holder: held.rank,
    armed: new Set(),
    sinceMs: nowMs,
  };
}

function prepare(context: Context, phase: PhaseOf<"preparing">): void {
  const { state, nowMs } = context;
  if (nowMs - phase.sinceMs > PREPARE_TIMEOUT_MS) return abandon(context);
  if (!isWhole(state.reports)) return;
  const { version, map, epoch } = phase;
  const missing = state.reports.filter(({ preparedVersion }) =>
    preparedVersion !== version
  );
  for (const { rank } of missing) {
    if (state.sentAtMs.get(`accepted/${rank}`) !== undefined) continue;
    send(context, {
      rank,
      order: { kind: "prepare", version, map },
      epoch,
      isForward: false,
    });
  }
  // A hold is begun only while every agent answers, so that it is short.
  if (missing.length > 0 || !state.isPromised) return;
  const step = lastStep(state.reports) + STEP_LEAD;
  const holder = pickHolder(state);
  state.phase = {
    name: "holding",
    version,
    epoch,
    step,
    holder,
    sinceMs: nowMs,
  };
}

/** Of the other ranks, that with the newest report likely answers at once. */
function pickHolder({ reports, options }: SwitchState): number {
  const others = reports.filter(({ rank }) => rank !== options.ownRank);
  const candidates = others.length > 0 ? others : reports;
  return candidates.reduce(
    (best, report) => report.step > best.step ? report : best,
  ).rank;
}

function hold(context: Context, phase: PhaseOf<"holding">): void {
  const { state, nowMs } = context;
  const { version, epoch, step, holder } = phase;
  const report = state.reports.find(({ rank }) => rank === holder);
  if (report?.heldStep === step) {
    state.phase = {
      ...phase,
      name: "arming",
      armed: new Set(),
      sinceMs: nowMs,
    };
    return;
  }
  if (lastStep(state.reports) >= step) {
    // The pass began before the hold came; nobody is armed for it.
    const later = lastStep(state.reports) + STEP_LEAD;
    state.phase = { ...phase, step: later, version, epoch };
    return;
  }
  releaseOthers(context, phase);
  send(context, {
    rank: holder,
    order: { kind: "hold", step },
    epoch,
    isForward: false,
    isDirect: true,
  });
}

/**
 * A hold left by another switch. Its version can no longer be armed, since
 * every rank has prepared a higher one.
 */
function releaseOthers(context: Context, phase: PhaseOf<"holding">): void {
  for (const { rank, heldStep } of context.state.reports) {
    if (heldStep === undefined || heldStep === phase.step) continue;
    send(context, {
      rank,
      order: { kind: "release", step: heldStep },
      epoch: phase.epoch,
      isForward: true,
    });
  }
}

function arm(context: Context, phase: PhaseOf<"arming">): void {
  const { state, nowMs } = context;
  const { version, epoch, step, armed } = phase;
  const reported = new Set(
    state.reports.filter(({ armedVersion }) => armedVersion === version)
      .map(({ rank }) => rank),
  );
  const missing = Array.from({ length: state.groupSize }, (_, rank) => rank)
    .filter((rank) => !armed.has(rank) && !reported.has(rank));
  if (missing.length === 0) {
    state.phase = { ...phase, name: "releasing", sinceMs: nowMs };
    return;
  }
  const others = missing.filter((rank) => rank !== state.options.ownRank);
  for (const rank of others.length > 0 ? others : missing) {
    send(context, {
      rank,
      order: { kind: "arm", version, step },
      epoch,
      isForward: true,
    });
  }
}

function release(context: Context, phase: PhaseOf<"releasing">): void {
  const { state, nowMs } = context;
  const { version, epoch, step, holder } = phase;
  if (lastStep(state.reports) >= step) {
    state.phase = { name: "settling", version, epoch, step, sinceMs: nowMs };
    return;
  }
  const order: GroupOrder = { kind: "release", step };
  send(context, { rank: holder, order, epoch, isForward: true });
}

/** Waits until the pass has begun everywhere. */
function settle(context: Context, phase: PhaseOf<"settling">): void {
  const { state } = context;
  const { version, epoch } = phase;
  for (const { rank, heldStep } of state.reports) {
    // A copy of the hold that was carried out after its release.
    if (heldStep === undefined) continue;
    const order: GroupOrder = { kind: "release", step: heldStep };
    send(context, { rank, order, epoch, isForward: true });
  }
  if (!isWhole(state.reports)) return;
  const isSwitched = state.reports.every(({ mapVersion, armedVersion }) =>
    mapVersion >= version && armedVersion === 0
  );
  const isVoid = state.reports.every(({ armedVersion }) => armedVersion === 0);
  if (isSwitched || (phase.step === undefined && isVoid)) {
    state.phase = { name: "idle" };
  }
}

function takeResult(
  context: Context,
  event: Extract<SwitchEvent, { readonly type: "orderEnded" }>,
): void {
  const { state, nowMs } = context;
  const { rank, order, epoch, result } = event;
  const { phase } = state;
  if (result === "lost" || phase.name === "idle") return;
  if (phase.epoch !== epoch) return;
  switch (order.kind) {
    case "prepare":
      if (phase.name !== "preparing" || phase.version !== order.version) return;
      if (result === "done") state.sentAtMs.set(`accepted/${rank}`, nowMs);
      // The rank has had a higher version, or cannot hold this map.
      else abandon(context);
      return;
    case "hold":
      if (phase.name !== "holding" || phase.step !== order.step) return;
      // After a conflict the next reports show what is in the way.
      if (result !== "done") return;
      state.phase = {
        ...phase,
        name: "arming",
        armed: new Set(),
        sinceMs: nowMs,
      };
      tellPhase(context);
      return;
    case "arm":
      if (phase.name !== "arming" || phase.step !== order.step) return;
      if (result !== "done") return;
      state.phase = { ...phase, armed: new Set([...phase.armed, rank]) };
      return;
    case "release":
      if (phase.name !== "releasing" || phase.step !== order.step) return;
      if (result !== "done") return;
      state.phase = {
        name: "settling",
        version: phase.version,
        epoch,
        step: phase.step,
        sinceMs: nowMs,
      };
      return;
  }
}

function abandon(context: Context): void {
  const { phase } = context.state;
  context.state.phase = { name: "idle" };
  context.state.sentAtMs.clear();
  if (phase.name === "idle") return;
  const { version, epoch } = phase;
  context.effects.push({
    type: "advanced",
    phase: "abandoned",
    version,
    epoch,
    step: undefined,
  });
}

function tellPhase({ state, effects }: Context): void {
  const { phase } = state;
  effects.push({
    type: "advanced",
    phase: phase.name,
    version: phase.name === "idle" ? 0 : phase.version,
    epoch: phase.name === "idle" ? 0 : phase.epoch,
    step: "step" in phase ? phase.step : undefined,
  });
}

function send(
  { state, nowMs, effects }: Context,
  order: SentOrder,
): void {
  const subject = "step" in order.order
    ? order.order.step
    : order.order.version;
  const key = `${order.order.kind}/${order.rank}/${subject}`;
  const sentAtMs = state.sentAtMs.get(key);
  if (sentAtMs !== undefined && nowMs - sentAtMs < REPEAT_MS) return;
  state.sentAtMs.set(key, nowMs);
  effects.push({ type: "send", isDirect: false, ...order });
}

function lastStep(reports: readonly RankReport[]): number {
  return Math.max(0, ...reports.map(({ step }) => step));
}

function highestVersion(report: RankReport): number {
  return Math.max(
    report.mapVersion,
    report.preparedVersion,
    report.armedVersion,
  );
}
