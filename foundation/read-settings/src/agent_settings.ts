/** The settings of an agent, the process that stands in front of one target. */

import type { RankPlace, Target, TlsSource } from "@dandelionbank/types";
import { resolvePeerSecret, validateAdvertisedUrl } from "./cross_checks.ts";
import {
  type SettingDefinitions,
  toFlagName,
  type ValuesOf,
} from "./definition.ts";
import {
  DATA_CENTRE_SETTING,
  PEER_SETTINGS,
  PLATFORM_SETTINGS,
  REPORT_SETTINGS,
} from "./process_settings.ts";
import {
  booleanSetting,
  choiceSetting,
  durationSetting,
  integerSetting,
  nameSetting,
  urlSetting,
} from "./setting_schemas.ts";
import { resolveTlsSource, type WithoutPem } from "./tls_settings.ts";

const MAX_GROUP_SIZE = 65_536;
const PLACE_NAMES = ["group", "rank", "groupSize"] as const;

export const AGENT_SETTINGS = {
  role: {
    presence: "required",
    schema: choiceSetting(["agent"]),
    help: "Role of this process: entry or agent",
  },
  name: {
    presence: "required",
    schema: nameSetting(),
    help: "Name of the agent's target, unique in the system",
  },
  dataCentre: DATA_CENTRE_SETTING,
  targetKind: {
    presence: "required",
    schema: choiceSetting(["rank", "engine", "plain"]),
    help: "Kind of the target: rank, engine or plain",
  },
  targetUrl: {
    presence: "required",
    schema: urlSetting(),
    help: "URL of the target",
  },
  pool: {
    presence: "required",
    schema: nameSetting(),
    help: "Pool that the target belongs to",
  },
  group: {
    presence: "optional",
    schema: nameSetting(),
    help: "Group that a rank belongs to",
  },
  rank: {
    presence: "optional",
    schema: integerSetting({ min: 0, max: MAX_GROUP_SIZE - 1 }),
    help: "Index of a rank within its group, from 0",
  },
  groupSize: {
    presence: "optional",
    schema: integerSetting({ min: 1, max: MAX_GROUP_SIZE }),
    unit: "ranks",
    help: "Number of ranks in a rank's group",
  },
  maxInFlight: {
    presence: "defaulted",
    schema: integerSetting({ min: 1, max: 100_000 }),
    defaultText: "64",
    unit: "requests",
    help: "Largest number of requests that the target runs concurrently",
  },
  keyTableEntries: {
    presence: "defaulted",
    schema: integerSetting({ min: 1, max: 1_000_000 }),
    defaultText: "20000",
    unit: "keys",
    help: "Largest number of request keys that the agent retains",
  },
  keyRetentionMs: {
    presence: "defaulted",
    schema: durationSetting({ min: 1, max: 86_400_000 }),
    defaultText: "600000",
    unit: "ms",
    help: "How long the key and the answer of an ended request are retained",
  },
  targetChecksFencing: {
    presence: "defaulted",
    schema: booleanSetting(),
    defaultText: "false",
    help:
      "Whether the target itself refuses orders with an outdated fencing number",
  },
  ...PEER_SETTINGS,
  ...PLATFORM_SETTINGS,
  ...REPORT_SETTINGS,
} as const satisfies SettingDefinitions;

type AgentValues = ValuesOf<typeof AGENT_SETTINGS>;

export interface AgentSettings
  extends WithoutPem<Omit<AgentValues, "peerSecret" | "peerSecretFile">> {
  readonly peerSecret: string;
  /** Absent if connections between processes do not use TLS. */
  readonly peerTls: TlsSource | undefined;
}

/**
 * Checks settings against each other. A setting that is invalid by itself is
 * absent from `values`, and checks that need it are skipped.
 */
export function validateAgentSettings(values: Partial<AgentValues>) {
  const peerTls = resolveTlsSource("peerTls", values);
  const secret = resolvePeerSecret(values);
  const problems = [
    ...peerTls.problems,
    ...secret.problems,
    ...validateAdvertisedUrl({
      side: "peer",
      listen: values.peerListen,
      url: values.peerUrl,
      isTls: peerTls.source !== undefined,
    }),
    ...validateRankPlace(values),
  ];
  const settings = {
    ...values,
    peerSecret: secret.value,
    peerTls: peerTls.source,
  };
  return { problems, settings: settings as AgentSettings };
}

/** Creates the target that the agent registers. */
export function createTarget(settings: AgentSettings): Target {
  const { name, targetKind: kind, pool, dataCentre } = settings;
  const place = toRankPlace(settings);
  return { name, kind, pool, dataCentre, ...(place && { place }) };
}

function toRankPlace(values: Partial<AgentValues>): RankPlace | undefined {
  const { group, rank, groupSize } = values;
  if (group === undefined) return undefined;
  if (rank === undefined || groupSize === undefined) return undefined;
  return { group, rank, groupSize };
}

function validateRankPlace(values: Partial<AgentValues>): readonly string[] {
  if (values.targetKind === undefined) return [];
  if (values.targetKind !== "rank") return rejectRankPlace(values);
  const missing = PLACE_NAMES.filter((name) =>
    name in values && values[name] === undefined
  );
  if (missing.length > 0) {
    return missing.map((name) =>
      `--${
        toFlagName(name)
      }: found nothing, expected it with --target-kind rank`
    );
  }
  const place = toRankPlace(values);
  if (place === undefined || place.rank < place.groupSize) return [];
  return [
    `--rank: found ${place.rank}, expected a number below --group-size, which is ${place.groupSize}`,
  ];
}

function rejectRankPlace(values: Partial<AgentValues>): readonly string[] {
  return PLACE_NAMES
    .filter((name) => values[name] !== undefined)
    .map((name) =>
      `--${toFlagName(name)}: found ${
        values[name]
      }, expected it with --target-kind rank only`
    );
}
