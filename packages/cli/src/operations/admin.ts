/** Client of the admin servers of processes. */
import { request } from 'undici';

const CALL_TIMEOUT_MS = 5_000;

export interface AdminTarget {
  /** Host and port, such as `10.0.1.1:9100`. */
  address: string;
  token?: string;
}

export type AdminResponse = { ok: true; body: unknown } | { ok: false; message: string };

/** Fetches JSON from an admin server; errors are returned as values. */
export const fetchAdminJson = async (target: AdminTarget, path: string): Promise<AdminResponse> => {
  const { address, token } = target;
  try {
    const { statusCode, body } = await request(`http://${address}${path}`, {
      headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
      headersTimeout: CALL_TIMEOUT_MS,
      bodyTimeout: CALL_TIMEOUT_MS,
    });
    const text = await body.text();
    if (statusCode !== 200) return { ok: false, message: `status ${statusCode}` };
    return { ok: true, body: JSON.parse(text) as unknown };
  } catch (err) {
    return { ok: false, message: err instanceof Error ? err.message : String(err) };
  }
};
