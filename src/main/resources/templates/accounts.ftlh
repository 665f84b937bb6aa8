<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Latency accounts</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse;margin:.5em 0 1.5em}
td,th{padding:.2em .8em;text-align:left}.bar{background:#47a;height:.8em}</style></head><body>
<h1>Latency accounts</h1>
<#list volumes as volume>
<h2>${volume.name}</h2>
<p>${volume.operations} operations: ${volume.met} in time, ${volume.late} late, ${volume.declined} declined,
${volume.scrapped} scrapped, ${volume.left} left by their client. Utility lost: ${volume.utilityLost?string("0.0")}.</p>
<#list [["Where its time went", volume.parts], ["What caused it", volume.causes]] as table>
<h3>${table[0]}</h3>
<table><#list table[1] as row><tr><td>${(row.name)!(row.text)}</td><td>${row.seconds?string("0.000")} s</td>
<td>${(row.share * 100)?string("0.0")} %</td>
<td style="width:20em"><div class="bar" style="width:${(row.share * 100)?string("0.0")}%"></div></td></tr>
</#list></table>
</#list>
</#list>
</body></html>
