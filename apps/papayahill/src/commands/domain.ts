import { withWait } from '../options.js'
import { defineCommand } from '../types.js'
import { reportAccepted } from '../waitInForce.js'

/** Takes a failure domain out of service, or brings it back. */
export const domain = defineCommand({
  command: 'domain <action> <domain>',
  describe: 'Take a failure domain out of service, or bring it back',
  examples: [['$0 domain out scl-a --wait', 'No new work in scl-a; running calls finish']],
  builder: (argv) => withWait(argv)
    .positional('action', { choices: ['out', 'in'] as const, demandOption: true, describe: 'out or in' })
    .positional('domain', { type: 'string', demandOption: true, describe: 'The failure domain' }),
  run: async (args, cli) => {
    const client = cli.client()
    const accepted = await client.request('POST', `/v1/domains/${encodeURIComponent(args.domain)}/${args.action}`)
    return await reportAccepted(accepted, args, client, cli)
  }
})
