/** The settings of an entry, the process that accepts requests from callers. */

import type { TlsSource } from "@dandelionbank/types";
import { resolvePeerSecret, validateAdvertisedUrl } from "./cross_checks.ts";
import type { SettingDefinitions, ValuesOf } from "./definition.ts";
import { LISTEN_ADDRESS_SCHEMA } from "./listen_address.ts";
import {
  DATA_CENTRE_SETTING,
  PEER_SETTINGS,
  pemFile,
  pemText,
  PLATFORM_SETTINGS,
  REPORT_SETTINGS,
} from "./process_settings.ts";
import {
  choiceSetting,
  digestSetting,
  nameSetting,
  urlSetting,
} from "./setting_schemas.ts";
import { resolveTlsSource, type WithoutPem } from "./tls_settings.ts";

export const ENTRY_SETTINGS = {
  role: {
    presence: "required",
    schema: choiceSetting(["entry"]),
    help: "Role of this process: entry or agent",
  },
  name: {
    presence: "required",
    schema: nameSetting(),
    help: "Name of this entry, unique in the system",
  },
  dataCentre: DATA_CENTRE_SETTING,
  callerListen: {
    presence: "defaulted",
    schema: LISTEN_ADDRESS_SCHEMA,
    defaultText: "127.0.0.1:8080",
    help: "Address for callers and operators",
  },
  callerUrl: {
    presence: "optional",
    schema: urlSetting(),
    help:
      "URL at which callers reach this entry; by default that of the bound address",
  },
  operatorKeyDigest: {
    presence: "optional",
    schema: digestSetting(),
    help:
      "Digest of a key with the rights of operator `bootstrap`, for a platform without operators",
  },
  callerTlsCertFile: pemFile("the certificate towards callers"),
  callerTlsCert: pemText("the certificate towards callers"),
  callerTlsKeyFile: pemFile("the key of that certificate"),
  callerTlsKey: { ...pemText("the key of that certificate"), secret: true },
  ...PEER_SETTINGS,
  ...PLATFORM_SETTINGS,
  ...REPORT_SETTINGS,
} as const satisfies SettingDefinitions;

type EntryValues = ValuesOf<typeof ENTRY_SETTINGS>;

export interface EntrySettings
  extends WithoutPem<Omit<EntryValues, "peerSecret" | "peerSecretFile">> {
  readonly peerSecret: string;
  /** Absent if callers are served without TLS. */
  readonly callerTls: TlsSource | undefined;
  /** Absent if connections between processes do not use TLS. */
  readonly peerTls: TlsSource | undefined;
}

/**
 * Checks settings against each other. A setting that is invalid by itself is
 * absent from `values`, and checks that need it are skipped.
 */
export function validateEntrySettings(values: Partial<EntryValues>) {
  const callerTls = resolveTlsSource("callerTls", values);
  const peerTls = resolveTlsSource("peerTls", values);
  const secret = resolvePeerSecret(values);
  const problems = [
    ...callerTls.problems,
    ...peerTls.problems,
    ...secret.problems,
    ...validateAdvertisedUrl({
      side: "caller",
      listen: values.callerListen,
      url: values.callerUrl,
      isTls: callerTls.source !== undefined,
    }),
    ...validateAdvertisedUrl({
      side: "peer",
      listen: values.peerListen,
      url: values.peerUrl,
      isTls: peerTls.source !== undefined,
    }),
  ];
  const settings = {
    ...values,
    peerSecret: secret.value,
    callerTls: callerTls.source,
    peerTls: peerTls.source,
  };
  return { problems, settings: settings as EntrySettings };
}
