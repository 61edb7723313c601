/** Wire format of reports: arrays without field names, since reports are sent often. */
import type { ReportedServerLoad, RouterReport } from '@kingcupsill/core/direct';
import { Packr } from 'msgpackr';

type WireLoad = [
  serverKey: string,
  running: number,
  sentTokens: number,
  promptParts: [string, number][],
];
type WireReport = [
  router: string,
  loads: WireLoad[],
  accounts: RouterReport['accounts'],
  /** Missing in reports of earlier builds. */
  leaving?: string[],
];

/** Encoder and decoder of reports. Decoding throws if the bytes are not a report. */
export interface ReportCodec {
  encode(report: RouterReport): Buffer;
  decode(bytes: Buffer): RouterReport;
}

function toWire({ serverKey, running, sentTokens, promptParts }: ReportedServerLoad): WireLoad {
  return [serverKey, running, sentTokens, promptParts];
}

function fromWire([serverKey, running, sentTokens, promptParts]: WireLoad): ReportedServerLoad {
  return { serverKey, running, sentTokens, promptParts };
}

/** Creates a codec that packs reports with MessagePack. */
export function createReportCodec(): ReportCodec {
  const packr = new Packr({ useRecords: false });
  return {
    encode({ router, loads, accounts, leaving }) {
      const wire: WireReport = [router, loads.map(toWire), accounts, leaving];
      return packr.pack(wire);
    },
    decode(bytes) {
      const [router, loads, accounts, leaving = []] = packr.unpack(bytes) as WireReport;
      return { router, loads: loads.map(fromWire), accounts, leaving };
    },
  };
}
