/** Settings that every daemon process has, regardless of its role. */

import type { SettingDefinitions } from "./definition.ts";
import { LISTEN_ADDRESS_SCHEMA } from "./listen_address.ts";
import {
  choiceSetting,
  durationSetting,
  nameSetting,
  secretSetting,
  textSetting,
  urlSetting,
} from "./setting_schemas.ts";

const LOG_FORMATS = ["auto", "text", "json"] as const;
const LOG_LEVELS = ["debug", "info", "warn", "error"] as const;

export type LogFormat = typeof LOG_FORMATS[number];

export const PLATFORM_SETTINGS = {
  platformUrl: {
    presence: "required",
    schema: urlSetting(),
    help: "URL of the platform's object API",
  },
  platformToken: {
    presence: "optional",
    schema: textSetting(),
    help: "Bearer token for the platform",
    secret: true,
  },
  platformTimeoutMs: {
    presence: "defaulted",
    schema: durationSetting({ min: 1, max: 600_000 }),
    defaultText: "2000",
    unit: "ms",
    help: "Longest wait for an answer from the platform",
  },
} as const satisfies SettingDefinitions;

export const PEER_SETTINGS = {
  peerListen: {
    presence: "defaulted",
    schema: LISTEN_ADDRESS_SCHEMA,
    defaultText: "127.0.0.1:8081",
    help: "Address for calls from other processes of the system",
  },
  peerUrl: {
    presence: "optional",
    schema: urlSetting(),
    help:
      "URL at which other processes reach this one; by default that of the bound address",
  },
  peerSecret: {
    presence: "optional",
    schema: secretSetting(),
    help:
      "Secret that all processes of the system share; required unless peer-secret-file is given",
    secret: true,
  },
  peerSecretFile: {
    presence: "optional",
    schema: textSetting(),
    help: "File that contains the shared secret, instead of peer-secret",
  },
  peerTlsCertFile: pemFile("this process's certificate towards its peers"),
  peerTlsCert: pemText("this process's certificate towards its peers"),
  peerTlsKeyFile: pemFile("the key of that certificate"),
  peerTlsKey: { ...pemText("the key of that certificate"), secret: true },
  peerTlsCaFile: pemFile("the CA that signs the certificates of all peers"),
  peerTlsCa: pemText("the CA that signs the certificates of all peers"),
} as const satisfies SettingDefinitions;

export const REPORT_SETTINGS = {
  observeListen: {
    presence: "defaulted",
    schema: LISTEN_ADDRESS_SCHEMA,
    defaultText: "127.0.0.1:8082",
    help: "Address for /metrics, /healthz and /readyz",
  },
  logFormat: {
    presence: "defaulted",
    schema: choiceSetting(LOG_FORMATS),
    defaultText: "auto",
    help: "auto: text on a terminal, otherwise one JSON object per line",
  },
  logLevel: {
    presence: "defaulted",
    schema: choiceSetting(LOG_LEVELS),
    defaultText: "info",
    help: "Lowest level that is logged",
  },
} as const satisfies SettingDefinitions;

export const DATA_CENTRE_SETTING = {
  presence: "required",
  schema: nameSetting(),
  help: "Data centre of this process",
} as const;

export function pemFile(content: string) {
  return {
    presence: "optional",
    schema: textSetting(),
    help: `PEM file of ${content}; reloaded when it is replaced`,
  } as const;
}

export function pemText(content: string) {
  return {
    presence: "optional",
    schema: textSetting(),
    help: `PEM text of ${content}`,
  } as const;
}
